"""Numbered log events and the configuration of ``loguru``."""

from __future__ import annotations

from .catalogue import Event
from .log import log_event, set_up_line_logging, set_up_logging

__all__ = ["Event", "log_event", "set_up_line_logging", "set_up_logging"]

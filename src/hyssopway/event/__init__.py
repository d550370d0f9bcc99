"""Numbered log events and where they are written."""

from __future__ import annotations

from .catalogue import Event
from .log import log_event, set_up_line_logging, set_up_logging

__all__ = ["Event", "log_event", "set_up_line_logging", "set_up_logging"]

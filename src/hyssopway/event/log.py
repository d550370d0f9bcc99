"""Logs numbered events with ``loguru``."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, TextIO

from loguru import logger

from .line_sink import LineSink

if TYPE_CHECKING:
    from .catalogue import Event

_TEXT_FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSS} {level: <8} {extra[event]} {message}"


def set_up_logging(*, level: str, json_output: bool) -> None:
    """Configures logging to standard error.

    Args:
        level: Minimum level.
        json_output: Whether to write one JSON object per line instead of text.
    """
    logger.remove()
    logger.configure(extra={"event": "-"})
    logger.add(sys.stderr, level=level, format=_TEXT_FORMAT, serialize=json_output, diagnose=False)


def set_up_line_logging(*, level: str, stream: TextIO) -> None:
    """Configures logging to a stream: one compact JSON object per line, rate-limited and non-blocking.

    Args:
        level: Minimum level.
        stream: Output stream with a file descriptor.
    """
    logger.remove()
    logger.configure(extra={"event": "-"})
    logger.add(LineSink(stream=stream), level=level, format="{message}", catch=False)


def log_event(event: Event, **fields: object) -> None:
    """Logs an event with its fields."""
    logger.bind(event=event.number, **fields).log(event.level, event.template.format(**fields))


__all__ = ["log_event", "set_up_line_logging", "set_up_logging"]

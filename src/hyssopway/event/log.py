"""Writes numbered events through ``loguru``."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, TextIO

from loguru import logger

from .line_sink import LineSink

if TYPE_CHECKING:
    from .catalogue import Event

_TEXT_FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSS} {level: <8} {extra[event]} {message}"


def set_up_logging(*, level: str, json_output: bool) -> None:
    """Sends log events to standard error.

    Args:
        level: Lowest level that is written.
        json_output: One JSON object a line instead of text.
    """
    logger.remove()
    logger.configure(extra={"event": "-"})
    logger.add(sys.stderr, level=level, format=_TEXT_FORMAT, serialize=json_output, diagnose=False)


def set_up_line_logging(*, level: str, stream: TextIO) -> None:
    """Sends log events to a stream as one compact JSON object a line, bounded and without waiting.

    Args:
        level: Lowest level that is written.
        stream: Where lines go.
    """
    logger.remove()
    logger.configure(extra={"event": "-"})
    logger.add(LineSink(stream=stream), level=level, format="{message}", catch=False)


def log_event(event: Event, **fields: object) -> None:
    """Writes one event with its fields."""
    logger.bind(event=event.number, **fields).log(event.level, event.template.format(**fields))


__all__ = ["log_event", "set_up_line_logging", "set_up_logging"]

"""Logs numbered events, as compact lines or with ``loguru``."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, Any, TextIO

from .line_sink import LineSink

if TYPE_CHECKING:
    from .catalogue import Event

_TEXT_FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSS} {level: <8} {extra[event]} {message}"


class _Output:
    """Where events are logged to.

    Attributes:
        lines: Sink for compact lines; None if ``loguru`` writes the events.
        loguru: Logger of ``loguru``; None until it is used.
    """

    __slots__ = ("lines", "loguru")

    def __init__(self) -> None:
        self.lines: LineSink | None = None
        self.loguru: Any = None

    def load_loguru(self) -> Any:
        # A program that logs lines does not need loguru, whose import takes as long as half of that of asyncio.
        if self.loguru is None:
            from loguru import logger  # noqa: PLC0415

            self.loguru = logger
        return self.loguru


_output = _Output()


def set_up_logging(*, level: str, json_output: bool) -> None:
    """Configures logging to standard error.

    Args:
        level: Minimum level.
        json_output: Whether to write one JSON object per line instead of text.
    """
    _output.lines = None
    logger = _output.load_loguru()
    logger.remove()
    logger.configure(extra={"event": "-"})
    logger.add(sys.stderr, level=level, format=_TEXT_FORMAT, serialize=json_output, diagnose=False)


def set_up_line_logging(*, level: str, stream: TextIO) -> None:
    """Configures logging to a stream: one compact JSON object per line, rate-limited and non-blocking.

    Args:
        level: Minimum level.
        stream: Output stream with a file descriptor.
    """
    _output.lines = LineSink(stream=stream, level=level)


def log_event(event: Event, **fields: object) -> None:
    """Logs an event with its fields."""
    message = event.template.format(**fields)
    if _output.lines is not None:
        _output.lines.write(event=event.number, level=event.level, message=message, fields=fields)
    else:
        _output.load_loguru().bind(event=event.number, **fields).log(event.level, message)


__all__ = ["log_event", "set_up_line_logging", "set_up_logging"]

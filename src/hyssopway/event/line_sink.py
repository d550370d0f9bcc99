"""Writes log lines without ever waiting for the reader."""

from __future__ import annotations

import json
import os
import time
from typing import TYPE_CHECKING, Any, TextIO

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_LINES_A_SECOND = 100  # of one event number


class LineSink:
    """Sink of loguru that writes one compact JSON object a line.

    Lines are left out, and counted, when one event comes too often or when the reader does not keep up.

    Attributes:
        descriptor: Where lines go; it is made non-blocking.
        clock: Monotonic seconds.
        counts: Lines of the present second by event.
        dropped: Lines left out by event since they were last reported.
        second: The present second.
        rest: End of a line that the reader has not taken yet.
    """

    __slots__ = ("clock", "counts", "descriptor", "dropped", "rest", "second")

    def __init__(self, *, stream: TextIO, clock: Callable[[], float] = time.monotonic) -> None:
        self.descriptor = stream.fileno()
        os.set_blocking(self.descriptor, False)
        self.clock = clock
        self.counts: dict[Any, int] = {}
        self.dropped: dict[Any, int] = {}
        self.second = 0
        self.rest = b""

    def __call__(self, message: Any) -> None:
        """Writes one record."""
        record = message.record
        extra = dict(record["extra"])
        event = extra.pop("event", "-")
        if not self._admit(event):
            self.dropped[event] = self.dropped.get(event, 0) + 1
            return
        line = {
            "at": record["time"].strftime("%Y-%m-%dT%H:%M:%S.%f"),
            "level": record["level"].name,
            "event": event,
            "message": record["message"],
            **extra,
        }
        if self.dropped:
            line["left_out"] = self.dropped
        if self._write(json.dumps(line, default=str).encode() + b"\n"):
            self.dropped = {}
        else:
            self.dropped[event] = self.dropped.get(event, 0) + 1

    def _admit(self, event: Any) -> bool:
        second = int(self.clock())
        if second != self.second:
            self.second = second
            self.counts = {}
        self.counts[event] = self.counts.get(event, 0) + 1
        return self.counts[event] <= MAX_LINES_A_SECOND

    def _write(self, line: bytes) -> bool:
        try:
            if self.rest:
                self.rest = self.rest[os.write(self.descriptor, self.rest) :]
            if self.rest:
                return False
            self.rest = line[os.write(self.descriptor, line) :]
        except OSError:  # the reader is slow or gone, or the disk is full; decisions go on without a log
            return False
        return True


__all__ = ["LineSink"]

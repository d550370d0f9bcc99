"""Writes log lines without blocking on a slow reader."""

from __future__ import annotations

import json
import os
import time
from datetime import UTC, datetime
from typing import TYPE_CHECKING, TextIO

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

MAX_LINES_PER_SECOND = 100  # per event number
SEVERITIES = {"TRACE": 5, "DEBUG": 10, "INFO": 20, "WARNING": 30, "ERROR": 40, "CRITICAL": 50}


class LineSink:
    """Writes one compact JSON object per line.

    Lines are dropped and counted when an event exceeds its rate limit or when the reader is too slow.

    Attributes:
        lowest_severity: Events of a lower severity are not written.
        descriptor: File descriptor of the output, set to non-blocking.
        clock: Returns monotonic seconds.
        counts: Lines in the current second by event.
        dropped: Lines dropped by event since they were last reported.
        second: The current second.
        unsent: Remainder of a line that was written only in part.
    """

    __slots__ = ("clock", "counts", "descriptor", "dropped", "lowest_severity", "second", "unsent")

    def __init__(
        self, *, stream: TextIO, level: str = "INFO", clock: Callable[[], float] = time.monotonic
    ) -> None:
        self.lowest_severity = SEVERITIES[level]
        self.descriptor = stream.fileno()
        os.set_blocking(self.descriptor, False)
        self.clock = clock
        self.counts: dict[int, int] = {}
        self.dropped: dict[int, int] = {}
        self.second = 0
        self.unsent = b""

    def write(self, *, event: int, level: str, message: str, fields: Mapping[str, object]) -> None:
        """Writes one event if its level is high enough."""
        if SEVERITIES[level] < self.lowest_severity:
            return
        if not self._is_within_limit(event):
            self.dropped[event] = self.dropped.get(event, 0) + 1
            return
        line: dict[str, object] = {
            "at": datetime.now(tz=UTC).astimezone().strftime("%Y-%m-%dT%H:%M:%S.%f"),
            "level": level,
            "event": event,
            "message": message,
            **fields,
        }
        if self.dropped:
            line["left_out"] = self.dropped
        if self._write(json.dumps(line, default=str).encode() + b"\n"):
            self.dropped = {}
        else:
            self.dropped[event] = self.dropped.get(event, 0) + 1

    def _is_within_limit(self, event: int) -> bool:
        second = int(self.clock())
        if second != self.second:
            self.second = second
            self.counts = {}
        self.counts[event] = self.counts.get(event, 0) + 1
        return self.counts[event] <= MAX_LINES_PER_SECOND

    def _write(self, line: bytes) -> bool:
        try:
            if self.unsent:
                self.unsent = self.unsent[os.write(self.descriptor, self.unsent) :]
            if self.unsent:
                return False
            self.unsent = line[os.write(self.descriptor, line) :]
        except OSError:
            # The reader is slow or gone, or the disk is full. Lost log lines must not stop the program.
            return False
        return True


__all__ = ["LineSink"]

"""Bounds the memory of all requests of a process."""

from __future__ import annotations

import asyncio
from collections import Counter
from enum import StrEnum
from typing import TYPE_CHECKING, Protocol

from hyssopway.clock import monotonic_s
from hyssopway.event import Event, log_event

from .chunk_pace import ChunkPace

if TYPE_CHECKING:
    from hyssopway.clock import Clock

DEFAULT_MEMORY_MB = 512
MEGABYTE = 1_000_000
# Parts of a process's memory limit. A request in progress is copied about four times on its way to the leader.
UNFINISHED_SHARE = 1 / 16
IN_PROGRESS_SHARE = 1 / 32
# Bodies up to this size may use as much memory again as all bodies, so that large ones do not shut them out.
SMALL_REQUEST_BYTES = 32_768
# What one unfinished request costs beside its bytes.
HOLDER_BYTES = 1024
SWEEP_INTERVAL_S = 0.25
LOG_INTERVAL_S = 1.0


class CloseReason(StrEnum):
    """Why a connection was closed before its request was answered."""

    SLOW = "slow"
    MEMORY = "memory"
    MALFORMED = "malformed"
    UNREAD = "unread"
    CONNECTIONS = "connections"


class MemoryHolder(Protocol):
    """A connection that holds bytes of an unfinished request or of a response that is not read."""

    deadline: float

    def close_early(self, reason: CloseReason) -> None:
        """Gives up what is unfinished, closes the connection and calls `RequestMemory.release`."""
        ...


class RequestMemory:
    """Counts the bytes that connections hold, and closes the oldest holders when there are too many.

    Attributes:
        max_unfinished_bytes: Largest sum of unfinished requests and unread responses.
        max_in_progress_bytes: Largest sum of requests in progress.
        holders: Bytes of each holder, the oldest first.
        held_bytes: Sum of `holders`.
        in_progress_bytes: Sum of the requests in progress.
        pace: Limits the processor time of chunked bodies.
        closed: Number of connections closed early, by reason.
        unlogged: The same since the last log line.
        logged_at: Local time of the last log line.
    """

    __slots__ = (
        "clock",
        "closed",
        "held_bytes",
        "holders",
        "in_progress_bytes",
        "logged_at",
        "max_in_progress_bytes",
        "max_unfinished_bytes",
        "pace",
        "timer",
        "unlogged",
    )

    def __init__(self, *, memory_mb: float = DEFAULT_MEMORY_MB, clock: Clock = monotonic_s) -> None:
        self.max_unfinished_bytes = round(memory_mb * MEGABYTE * UNFINISHED_SHARE)
        self.max_in_progress_bytes = round(memory_mb * MEGABYTE * IN_PROGRESS_SHARE)
        self.clock = clock
        self.holders: dict[MemoryHolder, int] = {}
        self.held_bytes = 0
        self.in_progress_bytes = 0
        self.pace = ChunkPace(clock=clock)
        self.closed: Counter[CloseReason] = Counter()
        self.unlogged: Counter[CloseReason] = Counter()
        self.logged_at = float("-inf")
        self.timer: asyncio.TimerHandle | None = None

    def hold(self, holder: MemoryHolder, *, size: int) -> None:
        """Records the bytes of a holder; closes the oldest holders if there are too many bytes."""
        size += HOLDER_BYTES
        self.held_bytes += size - self.holders.get(holder, 0)
        self.holders[holder] = size
        while self.held_bytes > self.max_unfinished_bytes:
            next(iter(self.holders)).close_early(CloseReason.MEMORY)
        if self.timer is None:
            self._start_timer()

    def release(self, holder: MemoryHolder) -> None:
        """Removes a holder, if it is one."""
        self.held_bytes -= self.holders.pop(holder, 0)

    def begin(self, size: int) -> bool:
        """Counts a whole request as in progress; returns False if there is no room for it."""
        limit = self.max_in_progress_bytes
        if size <= SMALL_REQUEST_BYTES:
            limit *= 2
        if self.in_progress_bytes and self.in_progress_bytes + size > limit:
            return False
        self.in_progress_bytes += size
        return True

    def end(self, size: int) -> None:
        """Ends a request that `begin` counted."""
        self.in_progress_bytes -= size

    def count_closed(self, reason: CloseReason) -> None:
        """Counts a connection that is closed early; logs at most one line a second."""
        self.closed[reason] += 1
        self.unlogged[reason] += 1
        now = self.clock()
        if now - self.logged_at < LOG_INTERVAL_S:
            return
        self.logged_at = now
        log_event(
            Event.CONNECTIONS_CLOSED_EARLY,
            count=self.unlogged.total(),
            reasons=", ".join(f"{name} {number}" for name, number in sorted(self.unlogged.items())),
            held_kb=self.held_bytes // 1000,
        )
        self.unlogged.clear()

    def read_gauges(self) -> dict[str, float]:
        """Returns gauges and counts for metrics and dumps."""
        counts = {f"http_closed_early_{reason}": float(self.closed[reason]) for reason in CloseReason}
        return {
            "http_unfinished_requests": float(len(self.holders)),
            "http_unfinished_bytes": float(self.held_bytes),
            "http_in_progress_bytes": float(self.in_progress_bytes),
            **counts,
        }

    def _start_timer(self) -> None:
        self.timer = asyncio.get_running_loop().call_later(SWEEP_INTERVAL_S, self._sweep)

    def _sweep(self) -> None:
        """Closes holders whose time has passed; runs only while there are holders."""
        self.timer = None
        now = self.clock()
        for holder in [holder for holder in self.holders if holder.deadline <= now]:
            holder.close_early(CloseReason.SLOW)
        if self.holders:
            self._start_timer()


__all__ = ["CloseReason", "MemoryHolder", "RequestMemory"]

"""Time of the replicated state."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hyssopway.clock import Clock


class ClusterClock:
    """Cluster time in milliseconds, which only the leader advances, by its monotonic clock.

    Wall clocks may jump. A leader whose wall clock is a day ahead would otherwise expire claims too early, and a
    retry would run a second time. A new leader starts from the time of the last applied command,
    so cluster time may lose time in a change of leader but never runs ahead.

    Attributes:
        last_ms: Last time returned or taken from an applied command.
        last_at: Local time of `last_ms` in seconds.
    """

    __slots__ = ("clock", "last_at", "last_ms")

    def __init__(self, *, clock: Clock) -> None:
        self.clock = clock
        self.last_ms = 0
        self.last_at = clock()

    def read_ms(self, *, applied_ms: int) -> int:
        """Returns the time for the next command.

        Args:
            applied_ms: Time of the last command applied.
        """
        now = self.clock()
        if applied_ms > self.last_ms:
            self.last_ms = applied_ms
            self.last_at = now
        elapsed_ms = int((now - self.last_at) * 1000)
        self.last_ms += elapsed_ms
        self.last_at += elapsed_ms / 1000
        return self.last_ms


__all__ = ["ClusterClock"]

"""The cluster time that all replicas share."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hyssopway.clock import Clock


class ClusterClock:
    """Cluster time in milliseconds, which only the leader advances, by its monotonic clock.

    Wall clocks may jump. A leader whose wall clock is a day ahead would expire the claims of non-idempotent
    requests too early, and a retry would run a second time. A new leader continues from the time of the last
    applied command, so cluster time may lose time in a change of leader but never runs ahead.

    Attributes:
        clock: Local monotonic clock in seconds.
        last_ms: Last cluster time that was returned or taken from an applied command.
        last_read_s: Local time in seconds that corresponds to `last_ms`.
    """

    __slots__ = ("clock", "last_ms", "last_read_s")

    def __init__(self, *, clock: Clock) -> None:
        self.clock = clock
        self.last_ms = 0
        self.last_read_s = clock()

    def read_ms(self, *, applied_ms: int) -> int:
        """Returns the cluster time for the next command, in milliseconds.

        Args:
            applied_ms: Cluster time of the last applied command.
        """
        now = self.clock()
        if applied_ms > self.last_ms:
            self.last_ms = applied_ms
            self.last_read_s = now
        elapsed_ms = int((now - self.last_read_s) * 1000)
        self.last_ms += elapsed_ms
        self.last_read_s += elapsed_ms / 1000
        return self.last_ms


__all__ = ["ClusterClock"]

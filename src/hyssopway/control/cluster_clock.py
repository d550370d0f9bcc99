"""Time of the agreed state."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hyssopway.clock import Clock


class ClusterClock:
    """Milliseconds that only a leader moves forward, by its monotonic clock.

    Wall clocks step. A daemon whose wall clock is a day ahead would otherwise end the time for which claims
    are kept, and a resend would run a second time. A new leader starts where the last applied command stood,
    so agreed time may run slow over a change of leader but never fast.

    Attributes:
        last_ms: Last time given out or taken over.
        last_at: Local time of that.
    """

    __slots__ = ("clock", "last_ms", "last_read_s")

    def __init__(self, *, clock: Clock) -> None:
        self.clock = clock
        self.last_ms = 0
        self.last_read_s = clock()

    def read_ms(self, *, applied_ms: int) -> int:
        """Returns the time for the next command.

        Args:
            applied_ms: Time of the last command applied.
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

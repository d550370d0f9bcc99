"""How recently a replica was confirmed to be current."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hyssopway.event import Event, log_event

if TYPE_CHECKING:
    from hyssopway.clock import Clock

# Withdrawn keys and zones must stop within 5 s also behind a partition; this leaves 2 s for the way.
AUTHORITY_TTL_S = 3.0


class Freshness:
    """Local time up to which the replica surely holds everything agreed.

    Every check reads the clock again, so a process that was frozen finds its authority expired.

    Attributes:
        clock: Monotonic seconds.
        confirmed_at: Local time of the confirmation.
    """

    __slots__ = ("clock", "confirmed_at", "reported")

    def __init__(self, *, clock: Clock) -> None:
        self.clock = clock
        self.confirmed_at = float("-inf")
        self.reported = True

    @property
    def age_s(self) -> float:
        """Seconds since the confirmed time; infinite when never confirmed."""
        return self.clock() - self.confirmed_at

    @property
    def is_valid(self) -> bool:
        """Whether decisions that need current state may be made."""
        return self.age_s <= AUTHORITY_TTL_S

    def confirm(self, *, at: float) -> None:
        """Records that everything agreed before a local time is applied."""
        self.confirmed_at = max(self.confirmed_at, at)

    def report(self) -> None:
        """Logs when authority expires and when it is confirmed again."""
        if self.reported and not self.is_valid:
            log_event(Event.AUTHORITY_EXPIRED, age_s=self.age_s)
        if not self.reported and self.is_valid:
            log_event(Event.AUTHORITY_CONFIRMED)
        self.reported = self.is_valid


__all__ = ["AUTHORITY_TTL_S", "Freshness"]

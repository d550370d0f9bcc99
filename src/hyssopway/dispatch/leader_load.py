"""Reports how much a leader has to do, and how late it is."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hyssopway.event import Event, log_event

from .loop_lag import LoopLagMeter

if TYPE_CHECKING:
    from collections import Counter

    from hyssopway.clock import Clock

# Counters of the term whose growth is reported.
STARTS = "starts_ordered"
STARTS_UNANSWERED = "starts_unanswered"
ROUNDS = "rounds_with_starts"
COMMIT_MS = "round_commit_ms"


class LeaderLoad:
    """Load of one leader since the last report.

    Attributes:
        meter: Measures the lag of the event loop.
        counters: Numbers of scheduling decisions of this term, by name.
        reported: Values of the counters at the last report.
    """

    __slots__ = ("counters", "meter", "reported")

    def __init__(self, *, clock: Clock, counters: Counter[str]) -> None:
        self.meter = LoopLagMeter(clock=clock)
        self.counters = counters
        self.reported: dict[str, int] = {}

    def report(self) -> None:
        """Logs the load since the last report."""
        lag = self.meter.take()
        self.counters["loop_lag_mean_ms"] = lag.mean_ms
        self.counters["loop_lag_max_ms"] = lag.max_ms
        rounds = self._take(ROUNDS)
        commit_ms = self._take(COMMIT_MS)
        log_event(
            Event.LEADER_LOAD,
            lag_mean_ms=lag.mean_ms,
            lag_max_ms=lag.max_ms,
            rounds=rounds,
            commit_ms=round(commit_ms / rounds) if rounds else 0,
            starts=self._take(STARTS),
            unanswered=self._take(STARTS_UNANSWERED),
        )

    def _take(self, name: str) -> int:
        value = self.counters[name]
        difference = value - self.reported.get(name, 0)
        self.reported[name] = value
        return difference


__all__ = ["COMMIT_MS", "ROUNDS", "STARTS", "STARTS_UNANSWERED", "LeaderLoad"]

"""Outlier detection: ejects endpoints that fail or are slow."""

from __future__ import annotations

import statistics
from dataclasses import dataclass
from typing import TYPE_CHECKING

from hyssopway.event import Event, log_event

if TYPE_CHECKING:
    from hyssopway.clock import Clock

CONSECUTIVE_FAILURES_TO_EJECT = 3
BASE_EJECTION_S = 1.0
MAX_EJECTION_S = 15.0
# Limits the ejected fraction of a service's endpoints: when most of them fail, the cause is a common one,
# and without any endpoint no request is served at all.
MAX_EJECTED_FRACTION = 0.5
PROBES_TO_RECOVER = 3
SLOW_FACTOR = 5.0
MIN_SLOW_MEAN_S = 0.05
MIN_RESPONSES = 10
EWMA_WEIGHT = 0.2


@dataclass(slots=True, kw_only=True)
class EndpointStats:
    """Statistics of one daemon about an endpoint.

    Attributes:
        service: Names of the environment and the service.
        failures: Number of consecutive failures.
        ejections: Number of ejections since the last recovery.
        ejected_until: Local time until which it gets no requests.
        probes_left: Successful requests still needed for recovery after an ejection.
        answers: Number of complete responses since the last ejection.
        mean_s: Exponentially weighted mean response time in seconds.
        seen_at: Local time of the last request.
    """

    service: tuple[str, str]
    failures: int = 0
    ejections: int = 0
    ejected_until: float = 0.0
    probes_left: int = 0
    answers: int = 0
    mean_s: float = 0.0
    seen_at: float = 0.0


class EndpointHealth:
    """Ejects endpoints by the outcomes of the requests that this daemon sent.

    An ejected endpoint gets no requests, then one at a time until enough of them succeed. Each ejection
    without a recovery in between lasts twice as long as the one before, up to a limit.

    Attributes:
        clock: Returns monotonic seconds.
        stats: Statistics by endpoint.
    """

    __slots__ = ("clock", "stats")

    def __init__(self, *, clock: Clock) -> None:
        self.clock = clock
        self.stats: dict[str, EndpointStats] = {}

    def concurrency_limit(self, endpoint: str) -> int | None:
        """Returns how many requests an endpoint may have in progress; None without a limit."""
        stats = self.stats.get(endpoint)
        if stats is None:
            return None
        if stats.ejected_until > self.clock():
            return 0
        return 1 if stats.probes_left else None

    def ejected_endpoints(self, service: tuple[str, str]) -> tuple[str, ...]:
        """Returns the endpoints of a service that are ejected now."""
        now = self.clock()
        return tuple(
            name
            for name, stats in self.stats.items()
            if stats.service == service and stats.ejected_until > now
        )

    def record_success(self, endpoint: str, *, service: tuple[str, str], seconds: float) -> None:
        """Records a complete response and its duration."""
        stats = self._stats_of(endpoint, service=service)
        stats.failures = 0
        stats.answers += 1
        stats.mean_s += (seconds - stats.mean_s) * (EWMA_WEIGHT if stats.answers > 1 else 1.0)
        if stats.probes_left:
            stats.probes_left -= 1
            if not stats.probes_left:
                stats.ejections = 0
        if stats.answers >= MIN_RESPONSES and self._is_slow(stats):
            self._eject(endpoint, stats=stats, reason=f"mean response time {stats.mean_s:.3f} s")

    def record_failure(self, endpoint: str, *, service: tuple[str, str]) -> None:
        """Records a failure that the endpoint caused."""
        stats = self._stats_of(endpoint, service=service)
        stats.failures += 1
        if stats.probes_left or stats.failures >= CONSECUTIVE_FAILURES_TO_EJECT:
            self._eject(endpoint, stats=stats, reason=f"{stats.failures} failures in a row")

    def remove_idle(self, *, idle_s: float) -> None:
        """Removes the statistics of endpoints that had no request for `idle_s`."""
        oldest = self.clock() - idle_s
        for name in [name for name, stats in self.stats.items() if stats.seen_at < oldest]:
            del self.stats[name]

    def _stats_of(self, endpoint: str, *, service: tuple[str, str]) -> EndpointStats:
        stats = self.stats.get(endpoint)
        if stats is None:
            stats = self.stats[endpoint] = EndpointStats(service=service)
        stats.seen_at = self.clock()
        return stats

    def _is_slow(self, stats: EndpointStats) -> bool:
        others = [
            other.mean_s
            for other in self.stats.values()
            if other.service == stats.service and other is not stats and other.answers >= MIN_RESPONSES
        ]
        return bool(others) and stats.mean_s > max(MIN_SLOW_MEAN_S, SLOW_FACTOR * statistics.median(others))

    def _eject(self, endpoint: str, *, stats: EndpointStats, reason: str) -> None:
        endpoint_count = sum(other.service == stats.service for other in self.stats.values())
        now = self.clock()
        if stats.ejected_until > now:
            return
        if len(self.ejected_endpoints(stats.service)) + 1 > endpoint_count * MAX_EJECTED_FRACTION:
            return
        ejection_s = min(MAX_EJECTION_S, BASE_EJECTION_S * 2**stats.ejections)
        stats.ejections += 1
        stats.ejected_until = now + ejection_s
        stats.probes_left = PROBES_TO_RECOVER
        stats.answers = stats.failures = 0
        log_event(Event.ENDPOINT_EJECTED, endpoint=endpoint, for_s=ejection_s, reason=reason)


__all__ = ["EndpointHealth"]

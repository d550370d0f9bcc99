"""Ejects endpoints that fail or are slow."""

from __future__ import annotations

import statistics
from dataclasses import dataclass
from typing import TYPE_CHECKING

from hyssopway.event import Event, log_event

if TYPE_CHECKING:
    from hyssopway.clock import Clock

FAILURES_TO_EJECT = 3
FIRST_EJECTION_S = 1.0
LONGEST_EJECTION_S = 15.0
# Never more than this part of a service's endpoints is ejected: failures of most of them have a common
# cause, and without endpoints nothing is served at all.
MAX_EJECTED_PART = 0.5
PROBES_TO_RECOVER = 3
SLOW_FACTOR = 5.0
SLOW_FLOOR_S = 0.05
SLOW_ANSWERS = 10
SMOOTHING = 0.2


@dataclass(slots=True, kw_only=True)
class Record:
    """What one daemon saw of an endpoint.

    Attributes:
        service: Environment and service.
        failures: Failures in a row.
        ejections: Ejections since it last recovered.
        ejected_until: Local time until which it gets nothing.
        probes_left: Successes that are still needed after an ejection.
        answers: Answers since the last ejection.
        mean_s: Mean time of its answers.
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
    """Outcomes of the requests that one daemon sent.

    Attributes:
        records: Records by endpoint.
    """

    __slots__ = ("clock", "records")

    def __init__(self, *, clock: Clock) -> None:
        self.clock = clock
        self.records: dict[str, Record] = {}

    def limit(self, endpoint: str) -> int | None:
        """Returns the most requests in progress that an endpoint may get; None without a limit."""
        record = self.records.get(endpoint)
        if record is None:
            return None
        if record.ejected_until > self.clock():
            return 0
        return 1 if record.probes_left else None

    def ejected(self, service: tuple[str, str]) -> tuple[str, ...]:
        """Returns the endpoints of a service that get nothing now."""
        now = self.clock()
        return tuple(
            name
            for name, record in self.records.items()
            if record.service == service and record.ejected_until > now
        )

    def succeeded(self, endpoint: str, *, service: tuple[str, str], seconds: float) -> None:
        """Records a whole answer."""
        record = self._record(endpoint, service=service)
        record.failures = 0
        record.answers += 1
        record.mean_s += (seconds - record.mean_s) * (SMOOTHING if record.answers > 1 else 1.0)
        if record.probes_left:
            record.probes_left -= 1
            if not record.probes_left:
                record.ejections = 0
        if record.answers >= SLOW_ANSWERS and self._is_slow(record):
            self._eject(endpoint, record=record, reason=f"mean answer time {record.mean_s:.3f} s")

    def failed(self, endpoint: str, *, service: tuple[str, str]) -> None:
        """Records a failure that the endpoint caused."""
        record = self._record(endpoint, service=service)
        record.failures += 1
        if record.probes_left or record.failures >= FAILURES_TO_EJECT:
            self._eject(endpoint, record=record, reason=f"{record.failures} failures in a row")

    def forget(self, *, unseen_s: float) -> None:
        """Drops records of endpoints that got no request for a while."""
        oldest = self.clock() - unseen_s
        for name in [name for name, record in self.records.items() if record.seen_at < oldest]:
            del self.records[name]

    def _record(self, endpoint: str, *, service: tuple[str, str]) -> Record:
        record = self.records.get(endpoint)
        if record is None:
            record = self.records[endpoint] = Record(service=service)
        record.seen_at = self.clock()
        return record

    def _is_slow(self, record: Record) -> bool:
        others = [
            other.mean_s
            for other in self.records.values()
            if other.service == record.service and other is not record and other.answers >= SLOW_ANSWERS
        ]
        return bool(others) and record.mean_s > max(SLOW_FLOOR_S, SLOW_FACTOR * statistics.median(others))

    def _eject(self, endpoint: str, *, record: Record, reason: str) -> None:
        peers = sum(other.service == record.service for other in self.records.values())
        now = self.clock()
        if record.ejected_until > now:
            return
        if len(self.ejected(record.service)) + 1 > peers * MAX_EJECTED_PART:
            return
        for_s = min(LONGEST_EJECTION_S, FIRST_EJECTION_S * 2**record.ejections)
        record.ejections += 1
        record.ejected_until = now + for_s
        record.probes_left = PROBES_TO_RECOVER
        record.answers = record.failures = 0
        log_event(Event.ENDPOINT_EJECTED, endpoint=endpoint, for_s=for_s, reason=reason)


__all__ = ["EndpointHealth"]

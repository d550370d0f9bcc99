"""What became of the last requests."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

MAX_RECORDS = 2000


@dataclass(slots=True, kw_only=True)
class RequestRecord:
    """Decisions about one request.

    Attributes:
        request_id: Its `Idempotency-Key`, shortened; empty without.
        service: Service as named by the caller.
        team: Team of its key; empty without.
        endpoints: Endpoints in the order of tries.
        waited_s: Time in queues for a slot.
        took_s: Time until its answer or failure.
        outcome: HTTP status of an answer, or name and message of the failure.
    """

    request_id: str
    service: str
    team: str = ""
    endpoints: list[str] = field(default_factory=list)
    waited_s: float = 0.0
    took_s: float = 0.0
    outcome: str = "in progress or given up by the caller"


class RequestRecords:
    """Bounded memory of one entry.

    Attributes:
        records: Records, oldest first.
    """

    __slots__ = ("records",)

    def __init__(self) -> None:
        self.records: deque[RequestRecord] = deque(maxlen=MAX_RECORDS)

    def add(self, record: RequestRecord) -> None:
        """Keeps a record in place of the oldest."""
        self.records.append(record)

    def find(self, request_id: str) -> list[RequestRecord]:
        """Returns the records of a request id, oldest first."""
        return [record for record in self.records if record.request_id == request_id]


__all__ = ["RequestRecord", "RequestRecords"]

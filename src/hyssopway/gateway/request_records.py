"""Bounded history of recent requests for operators."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

MAX_RECORDS = 2000


@dataclass(slots=True, kw_only=True)
class RequestRecord:
    """Route and outcome of one request.

    Attributes:
        request_id: Its `Idempotency-Key`, truncated; empty without one.
        service: Name of the service in the request.
        team: Team of its key; empty without a key.
        endpoints: Endpoints in the order of attempts.
        waited_s: Time in seconds spent waiting for slots.
        took_s: Time in seconds until the response or failure.
        outcome: HTTP status of the response, or name and message of the failure.
    """

    request_id: str
    service: str
    team: str = ""
    endpoints: list[str] = field(default_factory=list)
    waited_s: float = 0.0
    took_s: float = 0.0
    outcome: str = "in progress or abandoned by the caller"


class RequestRecords:
    """Records of the latest requests at one entry.

    Attributes:
        records: Records, oldest first.
    """

    __slots__ = ("records",)

    def __init__(self) -> None:
        self.records: deque[RequestRecord] = deque(maxlen=MAX_RECORDS)

    def add(self, record: RequestRecord) -> None:
        """Adds a record; drops the oldest one if the history is full."""
        self.records.append(record)

    def find(self, request_id: str) -> list[RequestRecord]:
        """Returns the records of a request ID, oldest first."""
        return [record for record in self.records if record.request_id == request_id]


__all__ = ["RequestRecord", "RequestRecords"]

"""Claims a non-idempotent request."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal


@dataclass(frozen=True, slots=True, kw_only=True)
class ClaimRequest:
    """Reserves the execution of a non-idempotent request for one attempt.

    Attributes:
        claim_id: Hash of service, team and idempotency key.
        service: Service that is called.
        fingerprint: Hash of method, path and body, to detect a reused idempotency key.
        daemon: Entry daemon that is about to run the request.
        token: Random ID of this attempt.
        deadline_s: Seconds after which the outcome of a pending claim counts as unknown.
        kept_s: Seconds for which the outcome is kept.
    """

    claim_id: str
    service: str
    fingerprint: str
    daemon: str
    token: str
    deadline_s: float
    kept_s: float
    kind: Literal["claim_request"] = "claim_request"


__all__ = ["ClaimRequest"]

"""A claimed non-idempotent request."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True)
class Claim:
    """Reservation for the execution of a non-idempotent request by one attempt.

    Attributes:
        claim_id: Hash of service, team and idempotency key.
        service: Service that is called.
        fingerprint: Hash of method, path and body.
        daemon: Entry daemon that runs the request.
        token: ID of the attempt.
        unknown_after_ms: Cluster time after which the outcome of a pending claim counts as unknown.
        kept_until_ms: Cluster time after which the claim expires.
        kept_s: Seconds for which the outcome is kept.
        status: HTTP status of the response; 0 while pending.
        content_type: Content type of the response.
        body: Response body in base64; None while pending or if it is too large to store.
    """

    claim_id: str
    service: str
    fingerprint: str
    daemon: str
    token: str
    unknown_after_ms: int
    kept_until_ms: int
    kept_s: float
    status: int = 0
    content_type: str = ""
    body: str | None = None


__all__ = ["Claim"]

"""A claimed non-idempotent request."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True)
class Claim:
    """The only run of a non-idempotent request.

    Attributes:
        claim_id: Hash of service, team and idempotency key.
        service: Service that is called.
        fingerprint: Hash of method, path and body.
        daemon: Entry daemon that runs it.
        token: Identity of the try.
        unknown_after_ms: State time after which a pending claim counts as unknown.
        kept_until_ms: State time after which the claim is forgotten.
        kept_s: Seconds that the outcome is kept.
        status: HTTP status of the answer; 0 while pending.
        content_type: Content type of the answer.
        body: Answer in base64; None when pending or too large to keep.
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

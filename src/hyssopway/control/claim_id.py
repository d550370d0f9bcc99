"""ID of the claim of a non-idempotent request."""

from __future__ import annotations

import hashlib


def make_claim_id(*, environment: str, service: str, team: str, idempotency_key: str) -> str:
    """Returns the claim ID, which is the same for all attempts of one request."""
    identity = f"{environment}\0{service}\0{team}\0{idempotency_key}"
    return hashlib.sha256(identity.encode()).hexdigest()[:32]


__all__ = ["make_claim_id"]

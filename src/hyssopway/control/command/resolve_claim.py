"""Records the outcome of a claimed request."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal


@dataclass(frozen=True, slots=True, kw_only=True)
class ResolveClaim:
    """Stores the response to a claimed request for retries.

    Attributes:
        claim_id: ID of the claim.
        token: ID of the attempt that ran.
        status: HTTP status of the response.
        content_type: Content type of the response.
        body: Response body in base64; None if it is too large to store.
    """

    claim_id: str
    token: str
    status: int
    content_type: str
    body: str | None
    kind: Literal["resolve_claim"] = "resolve_claim"


__all__ = ["ResolveClaim"]

"""Records the outcome of a claimed request."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal


@dataclass(frozen=True, slots=True, kw_only=True)
class ResolveClaim:
    """Keeps the answer of a claimed request for resends.

    Attributes:
        claim_id: The claim.
        token: Identity of the try that ran.
        status: HTTP status of the answer.
        content_type: Content type of the answer.
        body: Answer in base64; None when it is too large to keep.
    """

    claim_id: str
    token: str
    status: int
    content_type: str
    body: str | None
    kind: Literal["resolve_claim"] = "resolve_claim"


__all__ = ["ResolveClaim"]

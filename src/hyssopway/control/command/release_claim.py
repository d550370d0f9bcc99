"""Releases a claim whose request is known not to have run."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal


@dataclass(frozen=True, slots=True, kw_only=True)
class ReleaseClaim:
    """Deletes a claim, so that a retry may run the request.

    Attributes:
        claim_id: ID of the claim.
        token: ID of the attempt that did not run.
    """

    claim_id: str
    token: str
    kind: Literal["release_claim"] = "release_claim"


__all__ = ["ReleaseClaim"]

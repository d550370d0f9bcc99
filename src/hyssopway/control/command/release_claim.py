"""Releases a claim whose request surely did not run."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal


@dataclass(frozen=True, slots=True, kw_only=True)
class ReleaseClaim:
    """Removes a claim, so that a resend may run.

    Attributes:
        claim_id: The claim.
        token: Identity of the try that did not run.
    """

    claim_id: str
    token: str
    kind: Literal["release_claim"] = "release_claim"


__all__ = ["ReleaseClaim"]

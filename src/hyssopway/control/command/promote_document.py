"""Promotes a document from trial to production."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal


@dataclass(frozen=True, slots=True, kw_only=True)
class PromoteDocument:
    """Activates a document in production, unchanged, that the trial environment accepted before.

    Attributes:
        request_id: ID of the request; a retry has the same one.
        operator: Operator who sent the request.
        digest: Digest of the document, as accepted by the trial environment.
        expected_generation: Generation of the production document that the operator read.
    """

    request_id: str
    operator: str
    digest: str
    expected_generation: int
    kind: Literal["promote_document"] = "promote_document"


__all__ = ["PromoteDocument"]

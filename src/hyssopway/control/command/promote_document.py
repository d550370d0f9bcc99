"""Promotes a tried document to production."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal


@dataclass(frozen=True, slots=True, kw_only=True)
class PromoteDocument:
    """Puts a document from the trial environment into production, unchanged.

    Attributes:
        request_id: Identity of the request over resends.
        operator: Who asked.
        digest: Digest of the document that the trial accepted.
        expected_generation: Generation of the production document that the operator saw.
    """

    request_id: str
    operator: str
    digest: str
    expected_generation: int
    kind: Literal["promote_document"] = "promote_document"


__all__ = ["PromoteDocument"]

"""Puts a document into the trial environment."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal


@dataclass(frozen=True, slots=True, kw_only=True)
class TrialDocument:
    """Accepts a document for the trial environment.

    Attributes:
        request_id: Identity of the request over resends.
        operator: Who asked.
        text: The document as written.
        expected_generation: Generation of the trial document that the operator saw.
    """

    request_id: str
    operator: str
    text: str
    expected_generation: int
    kind: Literal["trial_document"] = "trial_document"


__all__ = ["TrialDocument"]

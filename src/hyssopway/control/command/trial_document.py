"""Activates a document in the trial environment."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal


@dataclass(frozen=True, slots=True, kw_only=True)
class TrialDocument:
    """Activates a document in the trial environment.

    Attributes:
        request_id: ID of the request; a retry has the same one.
        operator: Operator who sent the request.
        text: Text of the document as written.
        expected_generation: Generation of the trial document that the operator read.
    """

    request_id: str
    operator: str
    text: str
    expected_generation: int
    kind: Literal["trial_document"] = "trial_document"


__all__ = ["TrialDocument"]

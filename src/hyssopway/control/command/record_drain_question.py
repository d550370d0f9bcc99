"""Records that operators were asked about an overdue drain."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal


@dataclass(frozen=True, slots=True, kw_only=True)
class RecordDrainQuestion:
    """Records a question to operators, so that a new leader does not ask it again.

    Attributes:
        vm: Name of the VM.
        holder: Holder of the permit.
        at_ms: Cluster time in milliseconds from which the drain is overdue after its limit; an operator's
            decision to wait resets it.
    """

    vm: str
    holder: str
    at_ms: int
    kind: Literal["note_question"] = "note_question"


__all__ = ["RecordDrainQuestion"]

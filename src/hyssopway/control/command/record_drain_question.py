"""Records that operators were asked about a drain."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal


@dataclass(frozen=True, slots=True, kw_only=True)
class RecordDrainQuestion:
    """Keeps a new leader from asking the same question again.

    Attributes:
        vm: Name of the VM.
        holder: Holder of the permit.
        at_ms: Time that the drain is counted from; a decision to wait on sets a new one.
    """

    vm: str
    holder: str
    at_ms: int
    kind: Literal["note_question"] = "note_question"


__all__ = ["RecordDrainQuestion"]

"""Returns a disruption permit."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal


@dataclass(frozen=True, slots=True, kw_only=True)
class ReturnPermit:
    """Ends a planned stop; the VM becomes ready unless it is down.

    Attributes:
        vm: Name of the VM.
        holder: Holder of the permit.
        reason: Reason, shown to operators.
        expected_epoch: Epoch of the VM that the proposer saw; None to skip the check.
    """

    vm: str
    holder: str
    reason: str
    expected_epoch: int | None = None
    kind: Literal["return_permit"] = "return_permit"


__all__ = ["ReturnPermit"]

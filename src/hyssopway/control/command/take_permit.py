"""Takes a disruption permit."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal

from hyssopway.control.record.permit_purpose import PermitPurpose


@dataclass(frozen=True, slots=True, kw_only=True)
class TakePermit:
    """Starts a planned stop of a VM if the budgets allow it; the VM is then draining.

    Attributes:
        vm: Name of the VM.
        purpose: Purpose of the stop.
        holder: Wave, withdrawal or operator that holds the permit.
        expected_epoch: Epoch of the VM that the proposer saw.
        target: New pool, for a move; otherwise empty.
    """

    vm: str
    purpose: PermitPurpose
    holder: str
    expected_epoch: int
    target: str = ""
    kind: Literal["take_permit"] = "take_permit"


__all__ = ["TakePermit"]

"""Changes the state of a VM."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal

from hyssopway.control.record.vm_state import VmState


@dataclass(frozen=True, slots=True, kw_only=True)
class ChangeVm:
    """Changes the state of a VM.

    Attributes:
        vm: Name of the VM.
        state: New state.
        expected_epoch: Epoch of the VM that the proposer saw.
        reason: Reason, shown to operators.
    """

    vm: str
    state: VmState
    expected_epoch: int
    reason: str
    kind: Literal["change_vm"] = "change_vm"


__all__ = ["ChangeVm"]

"""Moves a VM to another pool."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal


@dataclass(frozen=True, slots=True, kw_only=True)
class MoveVm:
    """Changes the pool of an empty VM.

    Attributes:
        vm: Name of the VM.
        target: New pool.
        expected_epoch: Epoch of the VM that the proposer saw.
        reason: Reason, shown to operators.
    """

    vm: str
    target: str
    expected_epoch: int
    reason: str
    kind: Literal["move_vm"] = "move_vm"


__all__ = ["MoveVm"]

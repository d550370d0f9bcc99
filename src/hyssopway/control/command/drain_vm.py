"""Drains a VM for an operator."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal


@dataclass(frozen=True, slots=True, kw_only=True)
class DrainVm:
    """Takes a disruption permit and drains a VM until an operator returns it.

    Attributes:
        request_id: ID of the request; a retry has the same one.
        operator: Operator who sent the request.
        vm: Name of the VM.
        expected_epoch: Epoch of the VM that the operator saw.
    """

    request_id: str
    operator: str
    vm: str
    expected_epoch: int
    kind: Literal["drain_vm"] = "drain_vm"


__all__ = ["DrainVm"]

"""Ends an operator's drain or move."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal


@dataclass(frozen=True, slots=True, kw_only=True)
class ReturnVm:
    """Returns the permit of a drain, or of a move that is not done yet.

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
    kind: Literal["return_vm"] = "return_vm"


__all__ = ["ReturnVm"]

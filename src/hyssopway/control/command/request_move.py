"""Requests the move of a VM to another pool."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestMove:
    """Takes a permit for a move; the leader moves the VM once it is empty.

    Attributes:
        request_id: ID of the request; a retry has the same one.
        operator: Operator who sent the request.
        vm: Name of the VM.
        expected_epoch: Epoch of the VM that the operator saw.
        target: New pool.
    """

    request_id: str
    operator: str
    vm: str
    expected_epoch: int
    target: str
    kind: Literal["request_move"] = "request_move"


__all__ = ["RequestMove"]

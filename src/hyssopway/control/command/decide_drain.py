"""Decides about the work on a VM whose drain is overdue."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal

from hyssopway.control.record.drain_decision import DrainDecision


@dataclass(frozen=True, slots=True, kw_only=True)
class DecideDrain:
    """Keeps waiting for the work on a draining VM, or stops it.

    Attributes:
        request_id: ID of the request; a retry has the same one.
        operator: Operator who sent the request.
        vm: Name of the VM.
        expected_epoch: Epoch of the VM that the operator saw.
        decision: Whether to wait for the work or to stop it.
    """

    request_id: str
    operator: str
    vm: str
    expected_epoch: int
    decision: DrainDecision
    kind: Literal["decide_drain"] = "decide_drain"


__all__ = ["DecideDrain"]

"""Answers the question about a drain that does not end."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal

from hyssopway.control.record.drain_decision import DrainDecision


@dataclass(frozen=True, slots=True, kw_only=True)
class DecideDrain:
    """Waits on for the work on a draining VM, or stops it.

    Attributes:
        request_id: Identity of the request over resends.
        operator: Who asked.
        vm: Name of the VM.
        expected_epoch: Epoch of the VM that the operator saw.
        decision: What to do with the work.
    """

    request_id: str
    operator: str
    vm: str
    expected_epoch: int
    decision: DrainDecision
    kind: Literal["decide_drain"] = "decide_drain"


__all__ = ["DecideDrain"]

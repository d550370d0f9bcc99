"""Decisions of the leader about workflows, and its orders to worker VMs."""

from __future__ import annotations

from .advice_calls import AdviceCalls, AdviceError
from .hold_reply import HoldReply
from .leader_controller import LeaderController
from .leadership import Leadership, LeadershipLostError
from .listed_end import ListedEnd
from .machine_calls import (
    Machine,
    MachineCallError,
    MachineCalls,
    MachineOrderResult,
    MachineState,
)
from .order_reply import OrderReply, Refusal
from .platform_limits import PlatformLimits
from .running_row import RunningRow
from .worker_calls import OtherBootError, WorkerCalls, WorkerUnreachableError

__all__ = [
    "AdviceCalls",
    "AdviceError",
    "HoldReply",
    "LeaderController",
    "Leadership",
    "LeadershipLostError",
    "ListedEnd",
    "Machine",
    "MachineCallError",
    "MachineCalls",
    "MachineOrderResult",
    "MachineState",
    "OrderReply",
    "OtherBootError",
    "PlatformLimits",
    "Refusal",
    "RunningRow",
    "WorkerCalls",
    "WorkerUnreachableError",
]

"""Scheduling of workflows by the leader, and its orders to worker VMs and machines."""

from __future__ import annotations

from .advice_calls import AdviceCalls, AdviceError
from .leader_controller import LeaderController
from .leadership import Leadership, LeadershipLostError
from .listed_end import ListedEnd
from .listed_run import ListedRun
from .machine_calls import (
    Machine,
    MachineCallError,
    MachineCalls,
    MachineOrderResult,
    MachineState,
)
from .order_reply import OrderReply, Refusal
from .platform_limits import PlatformLimits
from .poll_reply import PollReply
from .worker_calls import OtherBootError, WorkerCalls, WorkerUnreachableError

__all__ = [
    "AdviceCalls",
    "AdviceError",
    "LeaderController",
    "Leadership",
    "LeadershipLostError",
    "ListedEnd",
    "ListedRun",
    "Machine",
    "MachineCallError",
    "MachineCalls",
    "MachineOrderResult",
    "MachineState",
    "OrderReply",
    "OtherBootError",
    "PlatformLimits",
    "PollReply",
    "Refusal",
    "WorkerCalls",
    "WorkerUnreachableError",
]

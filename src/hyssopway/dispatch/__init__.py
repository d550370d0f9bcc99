"""Scheduling of workflows by the leader, and its orders to worker VMs and machines.

Each exported name is imported on first use, because a control node needs most modules only once it leads.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from hyssopway.lazy_exports import lazy_exports

if TYPE_CHECKING:
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
    from .pending_workflows import count_pending_workflows
    from .platform_limits import PlatformLimits
    from .poll_reply import PollReply
    from .worker_calls import OtherBootError, WorkerCalls, WorkerUnreachableError
else:
    __getattr__ = lazy_exports(
        __name__,
        {
            "AdviceCalls": "advice_calls",
            "AdviceError": "advice_calls",
            "LeaderController": "leader_controller",
            "Leadership": "leadership",
            "LeadershipLostError": "leadership",
            "ListedEnd": "listed_end",
            "ListedRun": "listed_run",
            "Machine": "machine_calls",
            "MachineCallError": "machine_calls",
            "MachineCalls": "machine_calls",
            "MachineOrderResult": "machine_calls",
            "MachineState": "machine_calls",
            "OrderReply": "order_reply",
            "OtherBootError": "worker_calls",
            "PlatformLimits": "platform_limits",
            "PollReply": "poll_reply",
            "Refusal": "order_reply",
            "WorkerCalls": "worker_calls",
            "WorkerUnreachableError": "worker_calls",
            "count_pending_workflows": "pending_workflows",
        },
    )

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
    "count_pending_workflows",
]

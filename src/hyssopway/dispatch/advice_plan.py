"""Choice of the next request to an advisor.

The steps of some queues may run only on VMs that an advisor approves of. The advisor handles one request at a time, and
a request takes longer the more VMs it names. So a step is asked about when the steps before it are nearly done, and the
request names as many VMs as the waiting tasks are expected to need.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from hyssopway.workflow import AdvisorPolicy, Step

if TYPE_CHECKING:
    from collections.abc import Iterable

    from hyssopway.workflow import Workflow

    from .free_capacity import FreeCapacity
    from .ticket_cache import TicketCache

MAX_VMS_PER_REQUEST = 100
# Largest share of open tasks with which a step counts as nearly done.
MAX_OPEN_SHARE = 0.25


@dataclass(frozen=True, slots=True, kw_only=True)
class AdvisedStep:
    """A step that needs tickets.

    Attributes:
        name: Step name: workflow, occurrence and step number, as in task names.
        step: What the tasks of the step need.
        waiting: Number of tasks to start.
        pool: Name of the pool that runs the step.
        policy: Policy of the advisor of its queue.
    """

    name: str
    step: Step
    waiting: int
    pool: str
    policy: AdvisorPolicy


@dataclass(frozen=True, slots=True, kw_only=True)
class AdviceRequest:
    """A request to an advisor.

    Attributes:
        step: Step that the request asks about.
        vms: Boots by ID of the VMs that the request names.
    """

    step: AdvisedStep
    vms: dict[str, int]


def is_almost_ready(workflow: Workflow, *, occurrence: int, number: int) -> bool:
    """Returns whether all steps that a step depends on have no waiting tasks and are done or nearly done."""
    steps = workflow.progress[occurrence]
    return all(
        not steps[earlier].pending
        and steps[earlier].open_count <= MAX_OPEN_SHARE * workflow.spec.steps[earlier].count
        for earlier in workflow.spec.steps[number].after
    )


def choose_request(
    *,
    steps: Iterable[AdvisedStep],
    free_by_pool: dict[str, list[FreeCapacity]],
    boots: dict[str, int],
    tickets: TicketCache,
    approval_rate: float,
) -> AdviceRequest | None:
    """Returns the next request, or None when no step needs further tickets.

    Args:
        steps: Steps that need tickets, the most urgent first.
        free_by_pool: Free capacity of VMs by pool.
        boots: Boots by VM ID.
        tickets: Answers received so far.
        approval_rate: Share of VMs that the advisor is expected to approve of.
    """
    for advised in steps:
        placeable = 0
        unknown: list[FreeCapacity] = []
        for vm in free_by_pool.get(advised.pool, ()):
            boot = boots[vm.vm_id]
            if tickets.read(advised.name, vm=vm.vm_id, boot=boot):
                placeable += vm.max_tasks(advised.step)
            elif not tickets.is_refused(advised.name, vm=vm.vm_id, boot=boot):
                unknown.append(vm)
        missing = advised.waiting - placeable
        if missing <= 0 or not unknown:
            continue
        unknown.sort(key=lambda vm: -vm.max_tasks(advised.step))
        tasks_per_vm = max(1, unknown[0].max_tasks(advised.step))
        wanted = math.ceil(missing / tasks_per_vm / approval_rate)
        chosen = unknown[: min(MAX_VMS_PER_REQUEST, wanted)]
        return AdviceRequest(step=advised, vms={vm.vm_id: boots[vm.vm_id] for vm in chosen})
    return None


__all__ = ["AdviceRequest", "AdvisedStep", "choose_request", "is_almost_ready"]

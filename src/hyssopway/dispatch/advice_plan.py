"""Decides what to ask an advisor next.

Answers the load pattern of queues whose steps may run on some VMs only, while the advisor takes one question at a time
and its time grows with the VMs that are named: a step is asked about when the step before it is nearly done, with as
many VMs as its tasks are likely to need.
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

MAX_VMS_A_QUESTION = 100
# Share of its tasks that may be open when a step counts as nearly done.
NEARLY_DONE_SHARE = 0.25


@dataclass(frozen=True, slots=True, kw_only=True)
class AdvisedStep:
    """A step that needs tickets.

    Attributes:
        name: Workflow, occurrence and step, as in the names of tasks.
        step: The step.
        waiting: Tasks to start.
        pool: Pool that runs it.
        policy: Advisor of its queue.
    """

    name: str
    step: Step
    waiting: int
    pool: str
    policy: AdvisorPolicy


@dataclass(frozen=True, slots=True, kw_only=True)
class Question:
    """VMs to ask about for one step, with their boots."""

    step: AdvisedStep
    vms: dict[str, int]


def is_near(workflow: Workflow, *, occurrence: int, number: int) -> bool:
    """Tells whether all steps before one are done or nearly done."""
    steps = workflow.progress[occurrence]
    return all(
        not steps[earlier].pending
        and steps[earlier].open_count <= NEARLY_DONE_SHARE * workflow.spec.steps[earlier].count
        for earlier in workflow.spec.steps[number].after
    )


def choose_question(
    *,
    steps: Iterable[AdvisedStep],
    rooms: dict[str, list[FreeCapacity]],
    boots: dict[str, int],
    tickets: TicketCache,
    good_share: float,
) -> Question | None:
    """Returns the next question, or None when all steps have what they need.

    Args:
        steps: Steps that need tickets, the most urgent first.
        rooms: Free capacity by pool.
        boots: Boots of VMs.
        tickets: What is known.
        good_share: Share of the VMs that an advisor approves of.
    """
    for one in steps:
        placeable = 0
        unknown: list[FreeCapacity] = []
        for room in rooms.get(one.pool, ()):
            boot = boots[room.vm_id]
            if tickets.read(one.name, vm=room.vm_id, boot=boot):
                placeable += room.max_tasks(one.step)
            elif not tickets.is_refused(one.name, vm=room.vm_id, boot=boot):
                unknown.append(room)
        lacking = one.waiting - placeable
        if lacking <= 0 or not unknown:
            continue
        unknown.sort(key=lambda room: -room.max_tasks(one.step))
        a_vm = max(1, unknown[0].max_tasks(one.step))
        wanted = math.ceil(lacking / a_vm / good_share)
        chosen = unknown[: min(MAX_VMS_A_QUESTION, wanted)]
        return Question(step=one, vms={room.vm_id: boots[room.vm_id] for room in chosen})
    return None


__all__ = ["AdvisedStep", "Question", "choose_question", "is_near"]

"""Chooses the VMs on which a task that has failed before is not placed.

Addresses VMs that fail a part of their runs: with two attempts, a second failure on the same VM fails the workflow.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

    from hyssopway.workflow import Step, VmRecord


def excluded_vms(
    *,
    failed_on: frozenset[str],
    unreliable: frozenset[str],
    able: frozenset[str],
    with_room: Collection[str],
) -> frozenset[str]:
    """Returns the IDs of the VMs that may not get a task that has failed.

    These are the VMs on which it failed, unless no other VM can run the task, and for the last attempt also VMs whose
    failures count against them, while another VM has room.

    Args:
        failed_on: IDs of the VMs on which the task failed.
        unreliable: IDs of the VMs whose failures count against them, if the next failure fails the workflow.
        able: IDs of the VMs that may get tasks and that can run the task when they are empty.
        with_room: IDs of those VMs that have room for the task now.
    """
    if able <= failed_on:
        return frozenset()
    if any(vm not in failed_on and vm not in unreliable for vm in with_room):
        return failed_on | unreliable
    return failed_on


def can_run(step: Step, *, vm: VmRecord) -> bool:
    """Returns whether a VM can run a task of a step when it is empty."""
    capacity = vm.capacity
    return (
        (step.fills or step.cpu_millis <= capacity.cpu_millis)
        and step.memory_mb <= capacity.memory_mb
        and step.accelerators <= capacity.accelerators
        and (not step.label or step.label in vm.labels)
    )


__all__ = ["can_run", "excluded_vms"]

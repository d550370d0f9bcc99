"""Finds VMs that get no tasks because they might forget the ends of their runs.

The next boot of a VM may carry out a late poll that acknowledges ends of the boot before. It then forgets an end that
nobody has read, so that its task would start again although it is done. From `BOOT_FENCES_VERSION` on, a VM that answers
carries out no such poll (`boot_fence`), so that none is withheld; members of the release before have the same rule as ever.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from hyssopway.workflow import WorkflowState

    from .vm_link import VmLink

# Tasks go on where more of the VMs that can run them are affected, as after a restart of all VMs of a pool.
MAX_SHARE = 0.5


def find_withheld_vms(links: Mapping[str, VmLink], *, state: WorkflowState, now: float) -> set[str]:
    """Returns the IDs of the VMs that get no tasks for now: at most a share of each pool, and of its VMs with a label in use.

    Args:
        links: Links to VMs by VM ID.
        state: Replicated state.
        now: Local time.
    """
    answering = {vm_id for vm_id, link in links.items() if link.in_contact(now)}
    withheld = {vm_id for vm_id in answering if now < links[vm_id].acknowledgement.withheld_until}
    if not withheld:
        return withheld
    for vms in _list_groups(answering, state=state):
        if len(vms & withheld) > MAX_SHARE * len(vms):
            withheld -= vms
    return withheld


def _list_groups(vms: set[str], *, state: WorkflowState) -> list[set[str]]:
    """Returns the groups of VMs that tasks can be limited to: each pool, and its VMs with a label that a step needs."""
    tables = state.tables
    needed = {
        step.label
        for workflow_id in state.indexes.open_workflows
        for step in tables.workflows[workflow_id].spec.steps
        if step.label
    }
    groups: dict[tuple[str, str], set[str]] = {}
    for vm_id in vms & tables.vms.keys():
        record = tables.vms[vm_id]
        for label in ("", *needed.intersection(record.labels)):
            groups.setdefault((record.pool, label), set()).add(vm_id)
    return list(groups.values())


__all__ = ["find_withheld_vms"]

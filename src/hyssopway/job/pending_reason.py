"""Explains why a pending job does not run yet."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hyssopway.control.record import JobStatus, VmState, ZoneStatus
from hyssopway.control.team_usage import TeamUsage
from hyssopway.document import Resources

if TYPE_CHECKING:
    from hyssopway.control import ControlState
    from hyssopway.control.record import Job


def explain_pending(state: ControlState, *, job: Job) -> str:
    """Returns the rule that keeps a job pending, with its figures; empty when the job is not pending."""
    if job.status is not JobStatus.PENDING:
        return ""
    document = state.document()
    team = document.team(name=job.team) if document else None
    if team is None:
        return f"team {job.team} is not in the production document"
    usage = state.indexes.usage.get(job.team) or TeamUsage()
    if usage.tasks >= team.max_running or not (usage.resources + job.spec.resources).fits_in(team.limit):
        return (
            f"upper limit: team {team.name} holds {usage.tasks} of {team.max_running} tasks and "
            f"{usage.resources.cores:g} of {team.limit.cores:g} cores"
        )
    if job.not_before_ms > state.tables.now_ms:
        left_s = (job.not_before_ms - state.tables.now_ms) / 1000
        return f"backoff: the next attempt is in {left_s:.1f} s after {job.failures} failures"
    return _explain_capacity(state, job=job)


def _explain_capacity(state: ControlState, *, job: Job) -> str:
    vms = [vm for vm in state.tables.vms.values() if vm.pool == job.spec.pool]
    available_vms = [
        vm
        for vm in vms
        if vm.state is VmState.READY and state.tables.zones[vm.zone].status is not ZoneStatus.WITHDRAWN
    ]
    fitting = 0
    for vm in available_vms:
        used = Resources()
        for job_id in state.indexes.running.get(vm.name, ()):
            used = used + state.tables.jobs[job_id].spec.resources
        fitting += (used + job.spec.resources).fits_in(vm.capacity)
    return (
        f"capacity: by declared sizes the job fits on {fitting} of {len(available_vms)} VMs that accept work in pool "
        f"{job.spec.pool}; excluded: {len(vms) - len(available_vms)} VMs that are not ready or in a withdrawn zone"
    )


__all__ = ["explain_pending"]

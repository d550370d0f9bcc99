"""Reports workers that fell silent."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from hyssopway.control.command import ChangeVm
from hyssopway.control.record import RunOutcome, VmState
from hyssopway.event import Event, log_event

if TYPE_CHECKING:
    from .session import WorkerSession
    from .sessions import WorkerSessions

CHECK_S = 0.25
SUBMIT_TIMEOUT_S = 2.0

# Covers the difference of the clocks' rates and the worker's own delay in stopping its tasks.
LEASE_MARGIN_S = 1.0

# A VM that is drained or rebooting is silent by plan; its permit holder decides about it.
WATCHED = (VmState.READY, VmState.DRAINING, VmState.QUARANTINED)


async def monitor_leases(sessions: WorkerSessions) -> None:
    """Reports silent workers for as long as the daemon runs."""
    while True:
        await report_expired_leases(sessions)
        await asyncio.sleep(CHECK_S)


async def report_expired_leases(sessions: WorkerSessions) -> None:
    """Reports each worker whose every lease granted here has ended."""
    now = sessions.clock()
    silent = [session for session in sessions.sessions.values() if now > session.lease_until + LEASE_MARGIN_S]
    await asyncio.gather(*(_report(sessions, session=session) for session in silent))


async def _report(sessions: WorkerSessions, *, session: WorkerSession) -> None:
    vm = sessions.replica.state.tables.vms.get(session.vm)
    if vm is None or vm.home != sessions.own_name:
        sessions.sessions.pop(session.vm, None)
        return
    silent_s = sessions.clock() - session.synced_at
    runs = sessions.runs_on(vm.name)
    for job in runs:
        sessions.reports.give_up(
            job=job, vm=vm, outcome=RunOutcome.LOST, detail=f"worker silent for {silent_s:.1f} s"
        )
    if vm.state in WATCHED:
        command = ChangeVm(
            vm=vm.name,
            state=VmState.DOWN,
            expected_epoch=vm.epoch,
            reason=f"lease ended, silent for {silent_s:.1f} s",
        )
        result = await sessions.submitter.submit(command, timeout_s=SUBMIT_TIMEOUT_S)
        if result.is_ok():
            log_event(Event.WORKER_LOST, vm=vm.name, silent_s=silent_s)
    elif not runs and sessions.sessions.get(vm.name) is session:
        del sessions.sessions[vm.name]


__all__ = ["monitor_leases", "report_expired_leases"]

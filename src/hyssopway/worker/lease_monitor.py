"""Detects workers whose leases have expired and marks their VMs as down."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from hyssopway.control.command import ChangeVm
from hyssopway.control.record import RunOutcome, VmState
from hyssopway.event import Event, log_event

if TYPE_CHECKING:
    from .session import WorkerSession
    from .sessions import WorkerSessions

CHECK_INTERVAL_S = 0.25
SUBMIT_TIMEOUT_S = 2.0

# Covers clock drift and the worker's delay in stopping its tasks.
LEASE_MARGIN_S = 1.0

# A VM that is drained or rebooting is silent as planned; the holder of its permit decides about it.
MONITORED_STATES = (VmState.READY, VmState.DRAINING, VmState.QUARANTINED)


async def monitor_leases(sessions: WorkerSessions) -> None:
    """Reports expired leases periodically for as long as the daemon runs."""
    while True:
        await report_expired_leases(sessions)
        await asyncio.sleep(CHECK_INTERVAL_S)


async def report_expired_leases(sessions: WorkerSessions) -> None:
    """Ends the runs of each worker whose leases from this home have all expired, and marks its VM as down."""
    now = sessions.clock()
    expired = [
        session for session in sessions.sessions.values() if now > session.lease_until + LEASE_MARGIN_S
    ]
    await asyncio.gather(*(_handle_expired_lease(sessions, session=session) for session in expired))


async def _handle_expired_lease(sessions: WorkerSessions, *, session: WorkerSession) -> None:
    vm = sessions.replica.state.tables.vms.get(session.vm)
    if vm is None or vm.home != sessions.own_name:
        sessions.sessions.pop(session.vm, None)
        return
    silent_s = sessions.clock() - session.synced_at
    runs = sessions.jobs_on(vm.name)
    for job in runs:
        sessions.reports.abandon(
            job=job, vm=vm, outcome=RunOutcome.LOST, detail=f"worker silent for {silent_s:.1f} s"
        )
    if vm.state in MONITORED_STATES:
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

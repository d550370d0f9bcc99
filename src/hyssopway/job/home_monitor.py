"""Detects homes that are out of contact, marks their VMs as down and ends their runs."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from hyssopway.control.command import ChangeVm, EndRun
from hyssopway.control.record import JobStatus, RunOutcome, VmState
from hyssopway.document import JobPolicy
from hyssopway.event import Event, log_event
from hyssopway.worker import WORKER_LEASE_S

if TYPE_CHECKING:
    from collections.abc import Callable

    from hyssopway.clock import Clock
    from hyssopway.control.record import Vm
    from hyssopway.replica import Replica, Submitter

CHECK_INTERVAL_S = 0.5
SUBMIT_TIMEOUT_S = 2.0

# Covers clock drift, delayed replies and the interval between two contacts.
MARGIN_S = 5.0

# A worker whose home died has found another entry by then. From then on its VM counts against the budgets, so
# that a loss of many VMs halts planned stops at once; its runs are kept until every lease has expired.
MARK_DOWN_AFTER_S = WORKER_LEASE_S + 2.0

# A home asks for confirmation about every 0.5 s and reports its load every second; two missed calls are not
# a coincidence.
SILENT_AFTER_S = 1.5

# A leader that was suspended this long has not read the calls that arrived meanwhile.
MAX_PAUSE_S = 2.0

MONITORED_STATES = (VmState.READY, VmState.DRAINING, VmState.QUARANTINED)


class HomeMonitor:
    """Monitors the contacts of homes while this daemon leads.

    Attributes:
        own_name: Name of this daemon.
        replica: Replicated state.
        submitter: Submits commands to the replicated state.
        contacts: Local time of the last contact by daemon.
        leads: Returns whether this daemon leads.
        clock: Monotonic seconds.
        observed_since: Local time since which silence is measured; None while another daemon leads.
        checked_at: Local time of the last check.
        homes: Homes of all VMs at the last check, except this daemon.
        replaced_at: Local time at which a replaced value of `cut_off_run_s` was first seen, by log index.
    """

    __slots__ = (
        "checked_at",
        "clock",
        "contacts",
        "homes",
        "leads",
        "observed_since",
        "own_name",
        "replaced_at",
        "replica",
        "submitter",
    )

    def __init__(
        self,
        *,
        own_name: str,
        replica: Replica,
        submitter: Submitter,
        contacts: dict[str, float],
        leads: Callable[[], bool],
        clock: Clock,
    ) -> None:
        self.own_name = own_name
        self.replica = replica
        self.submitter = submitter
        self.contacts = contacts
        self.leads = leads
        self.clock = clock
        self.observed_since: float | None = None
        self.checked_at = clock()
        self.homes: set[str] = set()
        self.replaced_at: dict[int, float] = {}

    async def run(self) -> None:
        """Checks periodically for as long as the daemon runs."""
        while True:
            await self.check()
            await asyncio.sleep(CHECK_INTERVAL_S)

    async def check(self) -> None:
        """Marks VMs of silent homes as down and ends the runs of homes that can no longer renew a lease."""
        now = self.clock()
        paused = now - self.checked_at > MAX_PAUSE_S
        self.checked_at = now
        if not self.leads():
            self.observed_since = None
            self.replaced_at.clear()
            return
        if self.observed_since is None or paused:
            self.observed_since = now
            self.replaced_at.clear()
        timeout_s = self._longest_cut_off_s(now) + WORKER_LEASE_S + MARGIN_S
        self.homes = {vm.home for vm in self.replica.state.tables.vms.values()} - {self.own_name}
        for home in sorted(self.homes):
            silent_s = now - max(self.contacts.get(home, self.observed_since), self.observed_since)
            if silent_s > MARK_DOWN_AFTER_S:
                await self._mark_down(home, silent_s=silent_s)
            if silent_s > timeout_s:
                await self._end_runs(home, silent_s=silent_s)
        self.checked_at = self.clock()

    def silent_s(self, home: str) -> float:
        """Returns for how many seconds a home has been out of contact with this leader."""
        if self.observed_since is None:
            return 0.0
        return self.clock() - max(self.contacts.get(home, self.observed_since), self.observed_since)

    def find_silent_homes(self) -> frozenset[str]:
        """Returns the homes that are out of contact and therefore get no new work."""
        return frozenset(home for home in self.homes if self.silent_s(home) > SILENT_AFTER_S)

    def _longest_cut_off_s(self, now: float) -> float:
        """Returns the longest `cut_off_run_s` that a home out of contact may still apply.

        A home that was cut off before a document lowered the value does not know the new one. A replaced
        value expires relative to when this leader first saw the replacement, so no wall clock is needed.
        """
        state = self.replica.state
        document = state.document()
        policy = document.jobs if document else JobPolicy()
        for index, _ in state.tables.cut_offs:
            self.replaced_at.setdefault(index, now)
        replaced = [
            value_s
            for index, value_s in state.tables.cut_offs
            if now - self.replaced_at[index] <= value_s + WORKER_LEASE_S + MARGIN_S
        ]
        return max([policy.cut_off_run_s, *replaced])

    async def _end_runs(self, home: str, *, silent_s: float) -> None:
        ends = [command for vm in self._vms(home) for command in self._build_run_ends(vm, silent_s=silent_s)]
        if ends:
            log_event(Event.HOME_LOST, home=home, silent_s=silent_s)
        await asyncio.gather(*(self.submitter.submit(item, timeout_s=SUBMIT_TIMEOUT_S) for item in ends))

    async def _mark_down(self, home: str, *, silent_s: float) -> None:
        commands = [
            _build_down_command(vm, silent_s=silent_s)
            for vm in self._vms(home)
            if vm.state in MONITORED_STATES
        ]
        await asyncio.gather(*(self.submitter.submit(item, timeout_s=SUBMIT_TIMEOUT_S) for item in commands))

    def _vms(self, home: str) -> list[Vm]:
        return [vm for vm in self.replica.state.tables.vms.values() if vm.home == home]

    def _build_run_ends(self, vm: Vm, *, silent_s: float) -> list[EndRun]:
        state = self.replica.state
        jobs = [state.tables.jobs[job_id] for job_id in sorted(state.indexes.running.get(vm.name, ()))]
        return [
            EndRun(
                job_id=job.job_id,
                epoch=job.run.epoch,
                outcome=RunOutcome.LOST,
                detail=f"home {vm.home} out of contact for {silent_s:.0f} s",
                vm=vm.name,
                home_epoch=vm.home_epoch,
            )
            for job in jobs
            if job.status is JobStatus.RUNNING and job.run is not None
        ]


def _build_down_command(vm: Vm, *, silent_s: float) -> ChangeVm:
    return ChangeVm(
        vm=vm.name,
        state=VmState.DOWN,
        expected_epoch=vm.epoch,
        reason=f"home {vm.home} out of contact for {silent_s:.0f} s",
    )


__all__ = ["MARGIN_S", "HomeMonitor"]

"""Distinguishes faulty VMs from faulty jobs and quarantines the VMs."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from hyssopway.control.command import ChangeVm, StartRun
from hyssopway.control.record import RunOutcome, VmState, ZoneStatus

from .estimates import MAX_KINDS
from .planner import Planner

if TYPE_CHECKING:
    from collections.abc import Iterable

    from hyssopway.control.record import Job, Vm
    from hyssopway.control.run_end import RunEnd

VM_WINDOW = 8
KIND_WINDOW = 20
MIN_ATTRIBUTED_JOBS = 3

# At most 1 / QUARANTINE_DIVISOR of a pool, but always one VM, may be quarantined, so that mass failures do not
# empty the pool.
QUARANTINE_DIVISOR = 4

# In a first burst of jobs no run has succeeded on another VM yet, so there is nothing to compare with. A VM on
# which every run fails is excluded from placement for this time.
EXCLUSION_S = 5.0

INITIAL_PROBE_DELAY_S = 2.0
MAX_PROBE_DELAY_S = 60.0
MIN_SUCCESSFUL_PROBES = 2
MAX_TRACKED_JOBS = 20_000


@dataclass(slots=True, kw_only=True)
class ProbeState:
    """State of the probe runs of a quarantined VM.

    Attributes:
        due_at: Local time of the next probe.
        wait_s: Backoff in seconds; doubles with each failed probe.
        done: Consecutive successful probes.
    """

    due_at: float
    wait_s: float = INITIAL_PROBE_DELAY_S
    done: int = 0


@dataclass(slots=True, kw_only=True)
class Quarantine:
    """Compares run outcomes across jobs and VMs; kept in memory, so a new leader starts empty.

    Attributes:
        planner: Scheduler's view of the fleet.
        on_vm: Latest outcomes on each VM: job, task kind and whether the run succeeded.
        of_kind: Latest outcomes of each task kind: VM and whether the run succeeded.
        failed_on: VMs on which each job failed, oldest first.
        probing: Probe state by VM.
    """

    planner: Planner
    on_vm: dict[str, deque[tuple[str, tuple[str, str], bool]]] = field(default_factory=dict)
    of_kind: dict[tuple[str, str], deque[tuple[str, bool]]] = field(default_factory=dict)
    failed_on: dict[str, dict[str, None]] = field(default_factory=dict)
    probing: dict[str, ProbeState] = field(default_factory=dict)

    def observe(self, ends: Iterable[RunEnd]) -> list[ChangeVm]:
        """Records ended runs and returns the VMs to quarantine or to release."""
        commands: list[ChangeVm] = []
        for end in ends:
            if end.outcome not in (RunOutcome.DONE, RunOutcome.FAILED):
                continue
            done = end.outcome is RunOutcome.DONE
            self._record_outcome(end, done=done)
            vm = self.planner.state.tables.vms.get(end.vm)
            if vm is None:
                continue
            command = (
                self._record_probe(vm, done=done) if end.probe else self._decide_quarantine(vm, done=done)
            )
            if command is not None and command.vm not in {item.vm for item in commands}:
                commands.append(command)
            elif not done and not end.probe:
                self._exclude_suspect(vm)
        for name in list(self.planner.view.held_out):
            command = self._decide_quarantine(self.planner.state.tables.vms[name], done=False)
            if command is not None and command.vm not in {item.vm for item in commands}:
                commands.append(command)
        return commands

    def probe(self) -> list[StartRun]:
        """Returns probe runs for quarantined VMs whose next probe is due."""
        tables = self.planner.state.tables
        now = self.planner.clock()
        starts = []
        for vm in list(self.planner.view.quarantined.values()):
            probing = self.probing.setdefault(vm.name, ProbeState(due_at=now + INITIAL_PROBE_DELAY_S))
            busy = self.planner.state.indexes.running.get(vm.name)
            silent = vm.home in self.planner.view.silent
            if busy or silent or now < probing.due_at or tables.zones[vm.zone].status is ZoneStatus.WITHDRAWN:
                continue
            job = self._choose_job(vm)
            if job is not None:
                starts.append(self.planner.start_probe(job, vm=vm))
        return starts

    def vms_to_avoid(self, job: Job) -> list[str]:
        """Returns the VMs on which a job failed."""
        return list(self.failed_on.get(job.job_id, ()))

    def find_attributed_failures(self, vm: str) -> list[str]:
        """Returns the jobs whose failure is attributed to a VM.

        These are jobs that failed on this VM only and whose task kind mostly succeeds on other VMs.
        """
        found = []
        for job_id, kind, done in self.on_vm.get(vm, ()):
            elsewhere = [ok for other, ok in self.of_kind.get(kind, ()) if other != vm]
            succeeds_elsewhere = any(elsewhere) and 2 * sum(elsewhere) >= len(elsewhere)
            if not done and succeeds_elsewhere and list(self.failed_on.get(job_id, ())) == [vm]:
                found.append(job_id)
        return list(dict.fromkeys(found))

    def _record_outcome(self, end: RunEnd, *, done: bool) -> None:
        kind = (end.team, end.task_kind)
        self.on_vm.setdefault(end.vm, deque(maxlen=VM_WINDOW)).append((end.job_id, kind, done))
        self.of_kind.setdefault(kind, deque(maxlen=KIND_WINDOW)).append((end.vm, done))
        if len(self.of_kind) > MAX_KINDS:
            del self.of_kind[next(iter(self.of_kind))]
        if not done:
            self.failed_on.setdefault(end.job_id, {})[end.vm] = None
            if len(self.failed_on) > MAX_TRACKED_JOBS:
                del self.failed_on[next(iter(self.failed_on))]

    def _exclude_suspect(self, vm: Vm) -> None:
        """Excludes a VM whose last runs all failed and belong to different jobs."""
        last = list(self.on_vm[vm.name])[-MIN_ATTRIBUTED_JOBS:]
        if any(done for _, _, done in last) or len({job_id for job_id, _, _ in last}) < MIN_ATTRIBUTED_JOBS:
            return
        held = sum(self._pool_of(name) == vm.pool for name in self.planner.view.held_out)
        if vm.state is VmState.READY and not self._is_quarantine_limit_reached(vm.pool, more=held):
            self.planner.view.exclude(vm.name, until=self.planner.clock() + EXCLUSION_S)

    def _pool_of(self, name: str) -> str:
        vm = self.planner.state.tables.vms.get(name)
        return vm.pool if vm else ""

    def _decide_quarantine(self, vm: Vm, *, done: bool) -> ChangeVm | None:
        if done or vm.state is not VmState.READY:
            return None
        failed_jobs = self.find_attributed_failures(vm.name)
        successes = sum(ok for _, _, ok in self.on_vm[vm.name])
        if (
            len(failed_jobs) < MIN_ATTRIBUTED_JOBS
            or len(failed_jobs) <= 2 * successes
            or self._is_quarantine_limit_reached(vm.pool)
        ):
            return None
        self.probing[vm.name] = ProbeState(due_at=self.planner.clock() + INITIAL_PROBE_DELAY_S)
        reason = (
            f"{len(failed_jobs)} jobs failed whose task kinds succeed on other VMs: {', '.join(failed_jobs)}"
        )
        return ChangeVm(vm=vm.name, state=VmState.QUARANTINED, expected_epoch=vm.epoch, reason=reason)

    def _record_probe(self, vm: Vm, *, done: bool) -> ChangeVm | None:
        probing = self.probing.setdefault(vm.name, ProbeState(due_at=0.0))
        probing.done = probing.done + 1 if done else 0
        probing.wait_s = probing.wait_s if done else min(MAX_PROBE_DELAY_S, 2 * probing.wait_s)
        probing.due_at = self.planner.clock() + (0.0 if done else probing.wait_s)
        if probing.done < MIN_SUCCESSFUL_PROBES or vm.state is not VmState.QUARANTINED:
            return None
        del self.probing[vm.name]
        self.on_vm.pop(vm.name, None)
        reason = f"{MIN_SUCCESSFUL_PROBES} consecutive probe runs succeeded"
        return ChangeVm(vm=vm.name, state=VmState.READY, expected_epoch=vm.epoch, reason=reason)

    def _is_quarantine_limit_reached(self, pool: str, *, more: int = 0) -> bool:
        state = self.planner.state
        size = sum(state.indexes.shapes.counts.get(pool, {}).values())
        quarantined = sum(vm.pool == pool for vm in self.planner.view.quarantined.values())
        return quarantined + more >= max(1, size // QUARANTINE_DIVISOR)

    def _choose_job(self, vm: Vm) -> Job | None:
        """Returns the oldest non-urgent job that fits and has not failed yet."""
        queues = self.planner.queues
        for key in sorted(queues.groups, key=lambda key: queues.groups[key][0]):
            head = queues.head(key)
            if head is None or key.pool != vm.pool or key.urgent or not key.resources.fits_in(vm.capacity):
                continue
            job = self.planner.state.tables.jobs[head[1]]
            if not job.failures and job.job_id not in self.failed_on and self.planner.fits_team_limit(job):
                return job
        return None


__all__ = ["Quarantine"]

"""Tells bad VMs from bad jobs."""

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
MIN_BLAMED = 3

# One part in so many of a pool may be quarantined, so that a wave of failures does not empty it.
POOL_PART = 4

# In a first burst nothing is done elsewhere yet to compare with. A VM that only fails waits until it is.
HOLD_S = 5.0

FIRST_PROBE_S = 2.0
MAX_PROBE_S = 60.0
MIN_PROBES_DONE = 2
MAX_JOBS_REMEMBERED = 20_000


@dataclass(slots=True, kw_only=True)
class Probing:
    """Probe runs of a quarantined VM.

    Attributes:
        due_at: Local time of the next probe.
        wait_s: Wait after the next failure.
        done: Probes done in a row.
    """

    due_at: float
    wait_s: float = FIRST_PROBE_S
    done: int = 0


@dataclass(slots=True, kw_only=True)
class Quarantine:
    """Compares outcomes over jobs and VMs; soft state of the leader.

    Attributes:
        planner: Present view of the fleet.
        on_vm: Last outcomes on each VM: job, kind and whether it was done.
        of_kind: Last outcomes of each kind of task: VM and whether it was done.
        failed_on: VMs that each job failed on.
        probing: Probes by VM.
    """

    planner: Planner
    on_vm: dict[str, deque[tuple[str, tuple[str, str], bool]]] = field(default_factory=dict)
    of_kind: dict[tuple[str, str], deque[tuple[str, bool]]] = field(default_factory=dict)
    failed_on: dict[str, dict[str, None]] = field(default_factory=dict)
    probing: dict[str, Probing] = field(default_factory=dict)

    def observe(self, ends: Iterable[RunEnd]) -> list[ChangeVm]:
        """Learns from ends of runs; returns quarantines and releases."""
        commands: list[ChangeVm] = []
        for end in ends:
            if end.outcome not in (RunOutcome.DONE, RunOutcome.FAILED):
                continue
            done = end.outcome is RunOutcome.DONE
            self._remember(end, done=done)
            vm = self.planner.state.tables.vms.get(end.vm)
            if vm is None:
                continue
            command = self._judge_probe(vm, done=done) if end.probe else self._judge(vm, done=done)
            if command is not None and command.vm not in {item.vm for item in commands}:
                commands.append(command)
            elif not done and not end.probe:
                self._suspect(vm)
        for name in list(self.planner.view.held_out):
            command = self._judge(self.planner.state.tables.vms[name], done=False)
            if command is not None and command.vm not in {item.vm for item in commands}:
                commands.append(command)
        return commands

    def probe(self) -> list[StartRun]:
        """Returns probe runs for quarantined VMs that are due."""
        tables = self.planner.state.tables
        now = self.planner.clock()
        starts = []
        for vm in list(self.planner.view.quarantined.values()):
            probing = self.probing.setdefault(vm.name, Probing(due_at=now + FIRST_PROBE_S))
            busy = self.planner.state.indexes.running.get(vm.name)
            silent = vm.home in self.planner.view.silent
            if busy or silent or now < probing.due_at or tables.zones[vm.zone].status is ZoneStatus.WITHDRAWN:
                continue
            job = self._choose_job(vm)
            if job is not None:
                starts.append(self.planner.start_probe(job, vm=vm))
        return starts

    def avoid(self, job: Job) -> list[str]:
        """Returns VMs that a job failed on."""
        return list(self.failed_on.get(job.job_id, ()))

    def blamed(self, vm: str) -> list[str]:
        """Returns the jobs whose failure speaks against a VM."""
        found = []
        for job_id, kind, done in self.on_vm.get(vm, ()):
            elsewhere = [ok for other, ok in self.of_kind.get(kind, ()) if other != vm]
            proven = any(elsewhere) and 2 * sum(elsewhere) >= len(elsewhere)
            if not done and proven and list(self.failed_on.get(job_id, ())) == [vm]:
                found.append(job_id)
        return list(dict.fromkeys(found))

    def _remember(self, end: RunEnd, *, done: bool) -> None:
        kind = (end.team, end.task_kind)
        self.on_vm.setdefault(end.vm, deque(maxlen=VM_WINDOW)).append((end.job_id, kind, done))
        self.of_kind.setdefault(kind, deque(maxlen=KIND_WINDOW)).append((end.vm, done))
        if len(self.of_kind) > MAX_KINDS:
            del self.of_kind[next(iter(self.of_kind))]
        if not done:
            self.failed_on.setdefault(end.job_id, {})[end.vm] = None
            if len(self.failed_on) > MAX_JOBS_REMEMBERED:
                del self.failed_on[next(iter(self.failed_on))]

    def _suspect(self, vm: Vm) -> None:
        """Holds out a VM whose last runs all failed, of different jobs."""
        last = list(self.on_vm[vm.name])[-MIN_BLAMED:]
        if any(done for _, _, done in last) or len({job_id for job_id, _, _ in last}) < MIN_BLAMED:
            return
        held = sum(self._pool(name) == vm.pool for name in self.planner.view.held_out)
        if vm.state is VmState.READY and not self._is_full(vm.pool, more=held):
            self.planner.view.hold_out(vm.name, until=self.planner.clock() + HOLD_S)

    def _pool(self, name: str) -> str:
        vm = self.planner.state.tables.vms.get(name)
        return vm.pool if vm else ""

    def _judge(self, vm: Vm, *, done: bool) -> ChangeVm | None:
        if done or vm.state is not VmState.READY:
            return None
        blamed = self.blamed(vm.name)
        successes = sum(ok for _, _, ok in self.on_vm[vm.name])
        if len(blamed) < MIN_BLAMED or len(blamed) <= 2 * successes or self._is_full(vm.pool):
            return None
        self.probing[vm.name] = Probing(due_at=self.planner.clock() + FIRST_PROBE_S)
        reason = f"failed {len(blamed)} jobs whose kinds are done on other VMs: {', '.join(blamed)}"
        return ChangeVm(vm=vm.name, state=VmState.QUARANTINED, expected_epoch=vm.epoch, reason=reason)

    def _judge_probe(self, vm: Vm, *, done: bool) -> ChangeVm | None:
        probing = self.probing.setdefault(vm.name, Probing(due_at=0.0))
        probing.done = probing.done + 1 if done else 0
        probing.wait_s = probing.wait_s if done else min(MAX_PROBE_S, 2 * probing.wait_s)
        probing.due_at = self.planner.clock() + (0.0 if done else probing.wait_s)
        if probing.done < MIN_PROBES_DONE or vm.state is not VmState.QUARANTINED:
            return None
        del self.probing[vm.name]
        self.on_vm.pop(vm.name, None)
        reason = f"{MIN_PROBES_DONE} probe runs in a row were done"
        return ChangeVm(vm=vm.name, state=VmState.READY, expected_epoch=vm.epoch, reason=reason)

    def _is_full(self, pool: str, *, more: int = 0) -> bool:
        state = self.planner.state
        size = sum(state.indexes.shapes.counts.get(pool, {}).values())
        quarantined = sum(vm.pool == pool for vm in self.planner.view.quarantined.values())
        return quarantined + more >= max(1, size // POOL_PART)

    def _choose_job(self, vm: Vm) -> Job | None:
        """Returns the oldest plain job that fits and has not failed yet."""
        queues = self.planner.queues
        for key in sorted(queues.groups, key=lambda key: queues.groups[key][0]):
            head = queues.head(key)
            if head is None or key.pool != vm.pool or key.urgent or not key.resources.fits_in(vm.capacity):
                continue
            job = self.planner.state.tables.jobs[head[1]]
            if not job.failures and job.job_id not in self.failed_on and self.planner.within_limit(job):
                return job
        return None


__all__ = ["Quarantine"]

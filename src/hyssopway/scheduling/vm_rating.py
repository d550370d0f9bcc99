"""Rates worker VMs by what happened to their runs, so that tasks are placed on VMs that do their work.

Addresses VMs that fail half of their runs, are several times slower than others, leave orders unanswered or alternate
between silent and answering. None of them has a long series of failures, so a count of consecutive failures does not
find them. Jobs that can never succeed must not lower the rating of the VMs that they fail on.

The evidence is kept by one leader for one term and starts empty.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from .rating import Rating
from .rating_change import RatingChange
from .step_evidence import StepEvidence
from .vm_evidence import VmEvidence
from .vm_judgement import (
    MAX_PROBE_PHASE_S,
    SLOW_FACTOR,
    find_bad_racks,
    find_failures,
    find_lossy_pools,
    is_reachable_again,
    judge_contact,
    judge_runs,
)

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Mapping

    from hyssopway.workflow import TaskId

    from .vm_place import VmPlace

# At most one in this many VMs of a pool is avoided.
AVOIDED_DIVISOR = 4
MAX_PROBE_WAIT_S = 16.0
GOOD_PROBES = 2
# The evidence of removed VMs is dropped when there are more entries than this, or than twice the registered VMs. A machine
# that moves gets a VM with another ID.
MIN_PRUNED_VMS = 100
# Bounds the evidence. At 1,000 runs a second in steps of eight tasks it covers half a minute.
MAX_STEPS = 4_000


class VmRatings:
    """Ratings of all VMs.

    Attributes:
        vms: Evidence by VM ID.
        steps: Evidence by step, oldest first.
        changed: IDs of the VMs whose evidence changed for the worse since the last assessment.
        registered_count: Number of registered VMs at the last assessment.
    """

    __slots__ = ("changed", "registered_count", "steps", "vms")

    def __init__(self) -> None:
        self.vms: dict[str, VmEvidence] = {}
        self.steps: dict[str, StepEvidence] = {}
        self.changed: set[str] = set()
        self.registered_count = 0

    def rating(self, vm: str) -> Rating:
        """Returns the rating of a VM."""
        evidence = self.vms.get(vm)
        return evidence.rating if evidence is not None else Rating.PREFERRED

    def failed_on(self, task: TaskId) -> frozenset[str]:
        """Returns the VMs on which a task is known to have failed."""
        step = self.steps.get(task.step_name)
        return frozenset(step.failed_on.get(task.number, ())) if step is not None else frozenset()

    def unreliable_vms(self) -> frozenset[str]:
        """Returns the VMs against which a failure of one of their latest runs counts."""
        return frozenset(
            vm
            for vm, evidence in self.vms.items()
            if any(True for _ in find_failures(vm, evidence, steps=self.steps))
        )

    def list_avoided(self) -> list[str]:
        """Returns the IDs of the VMs that are avoided or probed."""
        return sorted(vm for vm, evidence in self.vms.items() if evidence.rating is not Rating.PREFERRED)

    def reset(self, vm: str) -> None:
        """Discards the evidence of a VM that has restarted."""
        self.vms.pop(vm, None)
        self.changed.discard(vm)

    def record_end(
        self, *, vm: str, task: TaskId, run_key: str, is_done: bool, duration_s: float | None, now: float
    ) -> None:
        """Records a run that completed or failed.

        Args:
            vm: ID of the VM.
            task: ID of the task.
            run_key: Key of the run.
            is_done: Whether the run completed.
            duration_s: How long it took; None if it is unknown.
            now: Local time.
        """
        evidence = self.vms.setdefault(vm, VmEvidence())
        step = self._step(task.step_name)
        evidence.runs.append((task, is_done))
        pace = None
        if is_done:
            durations = step.durations.setdefault(vm, [])
            if duration_s is not None:
                pace = step.compare(duration_s, vm=vm)
                durations.append(duration_s)
            if pace is not None:
                evidence.paces.append((task.workflow, pace))
            if step.failed_on:
                # Shows that the failures of other tasks of the step count against their VMs.
                self.changed.update(*step.failed_on.values())
            if pace is not None and pace >= SLOW_FACTOR:
                self.changed.add(vm)
        else:
            step.failed_on.setdefault(task.number, set()).add(vm)
            self.changed.add(vm)
        if run_key in evidence.probes:
            evidence.probes.discard(run_key)
            self._record_probe(evidence, is_good=is_done and (pace is None or pace < SLOW_FACTOR), now=now)
        elif evidence.rating is Rating.PROBED and pace is not None and pace < SLOW_FACTOR:
            self._record_probe(evidence, is_good=True, now=now)

    def record_projected_duration(self, *, vm: str, task: TaskId, duration_s: float) -> None:
        """Records how long a run will probably take that is to be stopped when its copy is done."""
        pace = self._step(task.step_name).compare(duration_s, vm=vm)
        if pace is not None:
            self.vms.setdefault(vm, VmEvidence()).paces.append((task.workflow, pace))
            self.changed.add(vm)

    def is_probe(self, vm: str, *, run_key: str) -> bool:
        """Returns whether a run is a probe of its VM."""
        evidence = self.vms.get(vm)
        return evidence is not None and run_key in evidence.probes

    def record_order(self, vm: str, *, is_answered: bool) -> None:
        """Records whether a VM answered an order."""
        evidence = self.vms.setdefault(vm, VmEvidence())
        if is_answered:
            evidence.orders.append(True)
        else:
            evidence.unconfirmed_losses += 1

    def record_contact(self, vm: str) -> None:
        """Records that a VM answered a poll."""
        evidence = self.vms.get(vm)
        if evidence is None or not (evidence.unconfirmed_losses or evidence.is_silent):
            return
        if not evidence.is_silent:
            # Orders of one round are lost together, for example while this process is busy, and say as much as one.
            evidence.orders.append(False)
            self.changed.add(vm)
        # The orders of a silent VM were lost with the VM.
        evidence.unconfirmed_losses, evidence.is_silent = 0, False

    def record_silence(self, vm: str, *, now: float) -> None:
        """Records that a VM turned silent."""
        evidence = self.vms.setdefault(vm, VmEvidence())
        evidence.silences.append(now)
        evidence.is_silent = True
        self.changed.add(vm)

    def start_probe(self, vm: str, *, run_key: str) -> None:
        """Records a probe run."""
        self.vms.setdefault(vm, VmEvidence()).probes.add(run_key)

    def may_probe(self, vm: str, *, runs: Collection[str]) -> bool:
        """Returns whether a VM may get a probe run now.

        Args:
            vm: ID of the VM.
            runs: Keys of the runs in progress on the VM.
        """
        evidence = self.vms.get(vm)
        if evidence is None or evidence.rating is not Rating.PROBED:
            return False
        evidence.probes.intersection_update(runs)
        return not evidence.probes

    def assess(self, places: Mapping[str, VmPlace], *, now: float) -> list[RatingChange]:
        """Updates all ratings and returns the changes.

        Args:
            places: Pools and racks of the registered VMs.
            now: Local time.
        """
        self.registered_count = len(places)
        for vm in [vm for vm in self.vms if vm not in places]:
            self.reset(vm)
        changes = [*self._advance(now), *self._avoid(places, now=now)]
        self.changed.clear()
        return changes

    @property
    def is_settled(self) -> bool:
        """Whether all VMs are preferred and no evidence has changed, so that an assessment changes no rating.

        False also while the evidence of many removed VMs is to be dropped.
        """
        if len(self.vms) > max(MIN_PRUNED_VMS, 2 * self.registered_count):
            return False
        return not self.changed and all(evidence.rating is Rating.PREFERRED for evidence in self.vms.values())

    def _advance(self, now: float) -> Iterable[RatingChange]:
        """Reinstates VMs after good probes and lets avoided ones be probed."""
        for vm, evidence in list(self.vms.items()):
            if evidence.rating is Rating.PREFERRED:
                continue
            if evidence.good_probes >= GOOD_PROBES:
                self.vms[vm] = VmEvidence()
                yield RatingChange(
                    vm=vm, rating=Rating.PREFERRED, reason=f"{GOOD_PROBES} probe runs completed"
                )
            elif evidence.rating is Rating.AVOIDED and now >= evidence.probe_due_at:
                evidence.rating = Rating.PROBED
                yield RatingChange(vm=vm, rating=Rating.PROBED, reason=evidence.reason)
            elif is_reachable_again(evidence, now=now):
                self.vms[vm] = VmEvidence()
                yield RatingChange(
                    vm=vm,
                    rating=Rating.PREFERRED,
                    reason=f"in contact for {MAX_PROBE_PHASE_S:.0f} s without a probe run",
                )

    def _avoid(self, places: Mapping[str, VmPlace], *, now: float) -> Iterable[RatingChange]:
        if not self.changed:
            return
        sizes = Counter(place.pool for place in places.values())
        lossy_pools = find_lossy_pools(places, sizes=sizes, evidence_by_vm=self.vms, now=now)
        found: dict[str, str] = {}
        for vm in sorted(self.changed):
            evidence = self.vms.get(vm)
            if evidence is None or evidence.rating is not Rating.PREFERRED:
                continue
            reason = judge_runs(vm, evidence, steps=self.steps)
            if not reason and places[vm].pool not in lossy_pools:
                reason = judge_contact(evidence)
            if reason:
                found[vm] = reason
        if not found:
            return
        found.update(find_bad_racks(places, found=found, evidence_by_vm=self.vms))
        avoided = Counter(
            places[vm].pool for vm, evidence in self.vms.items() if evidence.rating is not Rating.PREFERRED
        )
        for vm, reason in found.items():
            pool = places[vm].pool
            if avoided[pool] >= sizes[pool] // AVOIDED_DIVISOR:
                continue
            avoided[pool] += 1
            evidence = self.vms.setdefault(vm, VmEvidence())
            evidence.good_probes = 0
            evidence.rating, evidence.reason = Rating.AVOIDED, reason
            evidence.probe_due_at = now + evidence.probe_wait_s
            yield RatingChange(vm=vm, rating=Rating.AVOIDED, reason=reason)

    def _record_probe(self, evidence: VmEvidence, *, is_good: bool, now: float) -> None:
        if is_good:
            evidence.good_probes += 1
            return
        evidence.good_probes = 0
        evidence.rating = Rating.AVOIDED
        evidence.probe_wait_s = min(MAX_PROBE_WAIT_S, 2 * evidence.probe_wait_s)
        evidence.probe_due_at = now + evidence.probe_wait_s

    def _step(self, name: str) -> StepEvidence:
        step = self.steps.get(name)
        if step is None:
            step = self.steps[name] = StepEvidence()
            if len(self.steps) > MAX_STEPS:
                del self.steps[next(iter(self.steps))]
        return step


__all__ = ["VmRatings"]

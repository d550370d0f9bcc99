"""Rates worker VMs by what happened to their runs, so that tasks are placed on VMs that do their work.

Addresses VMs that fail half of their runs, are several times slower than others, leave orders unanswered or alternate
between silent and answering. None of them has a long series of failures, so a count of consecutive failures does not
find them. Jobs that can never succeed must not lower the rating of the VMs that they fail on.

The evidence is kept by one leader for one term and starts empty.
"""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import dataclass, field
from enum import StrEnum
from statistics import median
from typing import TYPE_CHECKING, NamedTuple

from hyssopway.workflow import TaskId

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Mapping

# Latest runs of a VM that are considered.
RUN_WINDOW = 16
# A VM is avoided after this many failures of at least two workflows, if they are this share of its latest runs. With
# one run in fifty failing anywhere, a window of ten runs has three failures once in a thousand times.
MIN_FAILURES = 3
MIN_WORKFLOWS = 2
FAILURE_SHARE = 0.3
# A VM is avoided if its median run takes this many times as long as the same task on other VMs. Neighbors on a VM
# slow tasks by less than a factor of two.
SLOW_FACTOR = 2.5
PACE_WINDOW = 8
MIN_PACES = 3
MIN_SIBLINGS = 2
# A VM is avoided if it leaves this share of its latest orders unanswered. Networks that lose three orders in ten exist.
ORDER_WINDOW = 16
MIN_ORDERS = 10
UNANSWERED_SHARE = 0.6
# A VM that leaves this share of its latest orders unanswered counts as one that loses calls.
LOSSY_SHARE = 0.25
# Share of all orders to a pool without an answer from which single VMs are not judged by theirs: windows of 16 orders
# differ too much by chance then, and avoiding VMs takes capacity without any gain.
LOSSY_POOL_SHARE = 0.2
MIN_POOL_ORDERS = 64
# A VM that turns silent this often within this time alternates between down and up; a dark rack turns silent once.
FLAPS = 2
FLAP_WINDOW_S = 20.0

# At most one in this many VMs of a pool is avoided.
AVOIDED_DIVISOR = 4
# A rack with fewer VMs is not judged as a unit.
MIN_RACK_VMS = 3

MIN_PROBE_WAIT_S = 1.0
MAX_PROBE_WAIT_S = 16.0
GOOD_PROBES = 2
# A VM that is in contact and gets no probe run for this long is preferred again.
MAX_PROBE_PHASE_S = FLAP_WINDOW_S

# The evidence of removed VMs is dropped when there are more entries than this, or than twice the registered VMs. A machine
# that moves gets a VM with another ID.
MIN_PRUNED_VMS = 100
# Bounds the evidence. At 1,000 runs a second in steps of eight tasks it covers half a minute.
MAX_STEPS = 4_000


class Rating(StrEnum):
    """How a VM is used."""

    PREFERRED = "preferred"
    AVOIDED = "avoided"  # gets no task
    PROBED = "probed"  # gets one task at a time, to see whether it has recovered


class VmPlace(NamedTuple):
    """Pool and rack of a VM.

    Attributes:
        pool: Name of the pool.
        rack: Name of the rack; empty if it is unknown.
    """

    pool: str
    rack: str


@dataclass(frozen=True, slots=True, kw_only=True)
class RatingChange:
    """A change of the rating of a VM.

    Attributes:
        vm: ID of the VM.
        rating: New rating.
        reason: What determined it.
    """

    vm: str
    rating: Rating
    reason: str


@dataclass(slots=True, kw_only=True)
class StepEvidence:
    """What happened to the tasks of a step, which are identical.

    Attributes:
        durations: Seconds that runs of the step took on each VM, of runs that completed.
        failed_on: VMs on which each task failed.
    """

    durations: dict[str, list[float]] = field(default_factory=dict)
    failed_on: dict[int, set[str]] = field(default_factory=dict)

    def succeeded_elsewhere(self, vm: str) -> bool:
        """Returns whether a task of the step completed on another VM."""
        return any(other != vm for other in self.durations)

    def compare(self, duration_s: float, *, vm: str) -> float | None:
        """Returns the ratio of a duration to that of other tasks on other VMs, or None if there are too few."""
        others = [value for other, values in self.durations.items() if other != vm for value in values]
        if len(others) < MIN_SIBLINGS:
            return None
        return duration_s / max(0.001, median(others))


@dataclass(slots=True, kw_only=True)
class VmEvidence:
    """What happened on one VM since its boot or its last reinstatement.

    Attributes:
        runs: Latest runs that completed or failed, and whether they completed.
        paces: Latest ratios of run durations to those of the same step on other VMs, with the workflows.
        orders: Whether the latest orders were answered; those lost between two answered polls count as one.
        unconfirmed_losses: Unanswered orders since the last answered poll; they count only if the VM is in contact.
        is_silent: Whether the VM is silent.
        silences: Times at which the VM turned silent.
        rating: Current rating.
        reason: What determined the rating.
        probe_due_at: Time of the next probe.
        probe_wait_s: Time between a failed probe and the next one.
        probes: Keys of the probe runs in progress.
        good_probes: Consecutive probe runs that completed at the usual pace.
    """

    runs: deque[tuple[TaskId, bool]] = field(default_factory=lambda: deque(maxlen=RUN_WINDOW))
    paces: deque[tuple[str, float]] = field(default_factory=lambda: deque(maxlen=PACE_WINDOW))
    orders: deque[bool] = field(default_factory=lambda: deque(maxlen=ORDER_WINDOW))
    unconfirmed_losses: int = 0
    is_silent: bool = False
    silences: deque[float] = field(default_factory=lambda: deque(maxlen=FLAPS))
    rating: Rating = Rating.PREFERRED
    reason: str = ""
    probe_due_at: float = 0.0
    probe_wait_s: float = MIN_PROBE_WAIT_S
    probes: set[str] = field(default_factory=set)
    good_probes: int = 0


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
            vm for vm, evidence in self.vms.items() if any(True for _ in self._failures(vm, evidence))
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
            elif _is_reachable_again(evidence, now=now):
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
        lossy_pools = self._find_lossy_pools(places, sizes=sizes, now=now)
        found: dict[str, str] = {}
        for vm in sorted(self.changed):
            evidence = self.vms.get(vm)
            if evidence is None or evidence.rating is not Rating.PREFERRED:
                continue
            reason = self._judge_runs(vm, evidence)
            if not reason and places[vm].pool not in lossy_pools:
                reason = _judge_contact(evidence)
            if reason:
                found[vm] = reason
        if not found:
            return
        found.update(self._find_bad_racks(places, found=found))
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

    def _find_bad_racks(self, places: Mapping[str, VmPlace], *, found: Mapping[str, str]) -> dict[str, str]:
        """Returns the VMs that were not found bad themselves but most VMs of whose rack are."""
        racks: dict[VmPlace, list[str]] = {}
        for vm, place in places.items():
            racks.setdefault(place, []).append(vm)
        bad: dict[str, str] = {}
        for place in {places[vm] for vm in found if places[vm].rack}:
            vms = racks[place]
            known = [vm for vm in vms if vm in found or self.rating(vm) is not Rating.PREFERRED]
            if len(vms) >= MIN_RACK_VMS and 2 * len(known) > len(vms):
                reason = f"{len(known)} of {len(vms)} VMs of rack {place.rack} are bad"
                bad.update((vm, reason) for vm in sorted(set(vms) - set(known)))
        return bad

    def _find_lossy_pools(
        self, places: Mapping[str, VmPlace], *, sizes: Mapping[str, int], now: float
    ) -> set[str]:
        """Returns the pools in which calls are lost on most VMs or evenly, so that not a single VM is the cause."""
        orders: Counter[str] = Counter()
        unanswered: Counter[str] = Counter()
        for vm, evidence in self.vms.items():
            orders[places[vm].pool] += len(evidence.orders)
            unanswered[places[vm].pool] += evidence.orders.count(False)
        lossy = Counter(
            places[vm].pool
            for vm, evidence in self.vms.items()
            if (evidence.silences and now - evidence.silences[-1] <= FLAP_WINDOW_S)
            or evidence.orders.count(False) >= LOSSY_SHARE * ORDER_WINDOW
        )
        return {
            pool
            for pool in sizes
            if 2 * lossy[pool] > sizes[pool]
            or (orders[pool] >= MIN_POOL_ORDERS and unanswered[pool] >= LOSSY_POOL_SHARE * orders[pool])
        }

    def _judge_runs(self, vm: str, evidence: VmEvidence) -> str:
        """Returns why a VM is to be avoided by the ends of its runs; empty if it is not."""
        failures = list(self._failures(vm, evidence))
        workflows = {task.workflow for task in failures}
        if (
            len(failures) >= MIN_FAILURES
            and len(workflows) >= MIN_WORKFLOWS
            and len(failures) >= FAILURE_SHARE * len(evidence.runs)
        ):
            return f"{len(failures)} of {len(evidence.runs)} runs failed that succeed on other VMs"
        paces = [pace for _, pace in evidence.paces]
        workflows = {workflow for workflow, _ in evidence.paces}
        if len(paces) >= MIN_PACES and len(workflows) >= MIN_WORKFLOWS and median(paces) >= SLOW_FACTOR:
            return f"runs take {median(paces):.1f} times as long as on other VMs"
        return ""

    def _failures(self, vm: str, evidence: VmEvidence) -> Iterable[TaskId]:
        """Returns the failed tasks that count against a VM.

        A task that failed on another VM, too, or whose step has not succeeded on any other VM counts against its job.
        """
        for task, is_done in evidence.runs:
            step = None if is_done else self.steps.get(task.step_name)
            if step is None or not step.succeeded_elsewhere(vm):
                continue
            if step.failed_on.get(task.number, {vm}) == {vm}:
                yield task

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


def _judge_contact(evidence: VmEvidence) -> str:
    """Returns why a VM is to be avoided by its answers; empty if it is not."""
    unanswered = evidence.orders.count(False)
    if len(evidence.orders) >= MIN_ORDERS and unanswered >= UNANSWERED_SHARE * len(evidence.orders):
        return f"{unanswered} of {len(evidence.orders)} orders got no answer"
    if len(evidence.silences) == FLAPS:
        span_s = evidence.silences[-1] - evidence.silences[0]
        if span_s <= FLAP_WINDOW_S:
            return f"silent {FLAPS} times within {span_s:.0f} s"
    return ""


def _is_reachable_again(evidence: VmEvidence, *, now: float) -> bool:
    """Returns whether a VM has been in contact for long enough while it waited for a probe run.

    A pool of long-running tasks has no probe runs, without which its VMs would be avoided for ever.
    """
    if evidence.is_silent or evidence.probes:
        return False
    since = max([evidence.probe_due_at, *evidence.silences])
    return evidence.rating is Rating.PROBED and now - since > MAX_PROBE_PHASE_S


__all__ = ["Rating", "RatingChange", "VmPlace", "VmRatings"]

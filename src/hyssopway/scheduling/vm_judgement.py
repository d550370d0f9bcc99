"""Judges VMs by the evidence of their runs, orders and contacts."""

from __future__ import annotations

from collections import Counter
from statistics import median
from typing import TYPE_CHECKING

from .rating import Rating
from .vm_evidence import FLAPS, ORDER_WINDOW

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from hyssopway.workflow import TaskId

    from .step_evidence import StepEvidence
    from .vm_evidence import VmEvidence
    from .vm_place import VmPlace

# A VM is avoided after this many failures of at least two workflows, if they are this share of its latest runs. With
# one run in fifty failing anywhere, a window of ten runs has three failures once in a thousand times.
MIN_FAILURES = 3
MIN_WORKFLOWS = 2
FAILURE_SHARE = 0.3
# A VM is avoided if its median run takes this many times as long as the same task on other VMs. Neighbors on a VM
# slow tasks by less than a factor of two.
SLOW_FACTOR = 2.5
MIN_PACES = 3
# A VM is avoided if it leaves this share of its latest orders unanswered. Networks that lose three orders in ten exist.
MIN_ORDERS = 10
UNANSWERED_SHARE = 0.6
# A VM that leaves this share of its latest orders unanswered counts as one that loses calls.
LOSSY_SHARE = 0.25
# Share of all orders to a pool without an answer from which single VMs are not judged by theirs: windows of 16 orders
# differ too much by chance then, and avoiding VMs takes capacity without any gain.
LOSSY_POOL_SHARE = 0.2
MIN_POOL_ORDERS = 64
FLAP_WINDOW_S = 20.0
# A rack with fewer VMs is not judged as a unit.
MIN_RACK_VMS = 3
# A VM that is in contact and gets no probe run for this long is preferred again.
MAX_PROBE_PHASE_S = FLAP_WINDOW_S


def judge_runs(vm: str, evidence: VmEvidence, *, steps: Mapping[str, StepEvidence]) -> str:
    """Returns why a VM is to be avoided by the ends of its runs; empty if it is not."""
    failures = list(find_failures(vm, evidence, steps=steps))
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


def judge_contact(evidence: VmEvidence) -> str:
    """Returns why a VM is to be avoided by its answers; empty if it is not."""
    unanswered = evidence.orders.count(False)
    if len(evidence.orders) >= MIN_ORDERS and unanswered >= UNANSWERED_SHARE * len(evidence.orders):
        return f"{unanswered} of {len(evidence.orders)} orders got no answer"
    if len(evidence.silences) == FLAPS:
        span_s = evidence.silences[-1] - evidence.silences[0]
        if span_s <= FLAP_WINDOW_S:
            return f"silent {FLAPS} times within {span_s:.0f} s"
    return ""


def find_failures(vm: str, evidence: VmEvidence, *, steps: Mapping[str, StepEvidence]) -> Iterable[TaskId]:
    """Returns the failed tasks that count against a VM.

    A task that failed on another VM, too, or whose step has not succeeded on any other VM counts against its job.
    """
    for task, is_done in evidence.runs:
        step = None if is_done else steps.get(task.step_name)
        if step is None or not step.succeeded_elsewhere(vm):
            continue
        if step.failed_on.get(task.number, {vm}) == {vm}:
            yield task


def find_bad_racks(
    places: Mapping[str, VmPlace], *, found: Mapping[str, str], evidence_by_vm: Mapping[str, VmEvidence]
) -> dict[str, str]:
    """Returns the VMs that were not found bad themselves but most VMs of whose rack are."""
    racks: dict[VmPlace, list[str]] = {}
    for vm, place in places.items():
        racks.setdefault(place, []).append(vm)
    bad: dict[str, str] = {}
    for place in {places[vm] for vm in found if places[vm].rack}:
        vms = racks[place]
        known = [
            vm
            for vm in vms
            if vm in found or (vm in evidence_by_vm and evidence_by_vm[vm].rating is not Rating.PREFERRED)
        ]
        if len(vms) >= MIN_RACK_VMS and 2 * len(known) > len(vms):
            reason = f"{len(known)} of {len(vms)} VMs of rack {place.rack} are bad"
            bad.update((vm, reason) for vm in sorted(set(vms) - set(known)))
    return bad


def find_lossy_pools(
    places: Mapping[str, VmPlace],
    *,
    sizes: Mapping[str, int],
    evidence_by_vm: Mapping[str, VmEvidence],
    now: float,
) -> set[str]:
    """Returns the pools in which calls are lost on most VMs or evenly, so that not a single VM is the cause."""
    orders: Counter[str] = Counter()
    unanswered: Counter[str] = Counter()
    for vm, evidence in evidence_by_vm.items():
        orders[places[vm].pool] += len(evidence.orders)
        unanswered[places[vm].pool] += evidence.orders.count(False)
    lossy = Counter(
        places[vm].pool
        for vm, evidence in evidence_by_vm.items()
        if (evidence.silences and now - evidence.silences[-1] <= FLAP_WINDOW_S)
        or evidence.orders.count(False) >= LOSSY_SHARE * ORDER_WINDOW
    )
    return {
        pool
        for pool in sizes
        if 2 * lossy[pool] > sizes[pool]
        or (orders[pool] >= MIN_POOL_ORDERS and unanswered[pool] >= LOSSY_POOL_SHARE * orders[pool])
    }


def is_reachable_again(evidence: VmEvidence, *, now: float) -> bool:
    """Returns whether a VM has been in contact for long enough while it waited for a probe run.

    A pool of long-running tasks has no probe runs, without which its VMs would be avoided for ever.
    """
    if evidence.is_silent or evidence.probes:
        return False
    since = max([evidence.probe_due_at, *evidence.silences])
    return evidence.rating is Rating.PROBED and now - since > MAX_PROBE_PHASE_S


__all__ = [
    "find_bad_racks",
    "find_failures",
    "find_lossy_pools",
    "is_reachable_again",
    "judge_contact",
    "judge_runs",
]

"""Finds slow runs, and runs on avoided VMs, whose tasks may get a copy."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from hyssopway.scheduling.copies import (
    SLOW_SHARE,
    Copies,
    CopyBudget,
    RunPace,
    StepKey,
    is_copy_allowed,
    is_slow,
)
from hyssopway.scheduling.racks import RackMap
from hyssopway.scheduling.vm_rating import Rating
from hyssopway.workflow import TaskId

if TYPE_CHECKING:
    from collections.abc import Collection

    from hyssopway.scheduling.durations import DurationQuantiles
    from hyssopway.scheduling.vm_rating import VmRatings
    from hyssopway.workflow import RunStart, WorkflowState

    from .vm_link import VmLink

# Runs of half a second are slow after about as long again; looking more often costs time at full load.
SCAN_INTERVAL_S = 0.1


class CopyableRun(NamedTuple):
    """A run in progress whose step allows duplicates.

    Attributes:
        task: ID of the task.
        vm: ID of the VM.
        declared_ms: Declared duration.
    """

    task: TaskId
    vm: str
    declared_ms: int


class CopyableRuns:
    """Runs started in this term by steps that allow duplicates.

    Attributes:
        runs: Runs by key.
        scanned_at: Local time of the last scan.
        projected: Keys of the slow runs whose pace the ratings have learned.
        reasons: Why the runs found by the last scan get a copy, by task ID.
    """

    __slots__ = ("projected", "reasons", "runs", "scanned_at")

    def __init__(self) -> None:
        self.runs: dict[str, CopyableRun] = {}
        self.scanned_at = float("-inf")
        self.projected: set[str] = set()
        self.reasons: dict[TaskId, str] = {}

    def add(self, start: RunStart, *, state: WorkflowState) -> None:
        """Adds a start that was committed if its step may get copies."""
        task = TaskId.parse(start.task)
        workflow = state.tables.workflows.get(task.workflow)
        step = workflow.spec.steps[task.step] if workflow is not None else None
        if step is not None and step.duplicates and not (step.gang or step.long_running or step.fills):
            key = f"{start.task}/{start.run}"
            self.runs[key] = CopyableRun(task=task, vm=start.vm, declared_ms=step.estimate_ms)

    def find_copies(
        self,
        *,
        state: WorkflowState,
        links: dict[str, VmLink],
        durations: DurationQuantiles,
        ratings: VmRatings,
        busy_pools: Collection[str],
        silent_vms: Collection[str],
        now: float,
    ) -> Copies:
        """Returns the tasks to copy by step, with the IDs of the VMs that may not get the copy.

        Args:
            state: Replicated state.
            links: Links to VMs by VM ID.
            durations: Distribution of run durations.
            ratings: Ratings of VMs; learn the pace of slow runs.
            busy_pools: Pools whose capacity waiting tasks need.
            silent_vms: IDs of the silent VMs, whose runs are not considered.
            now: Local time.
        """
        self.reasons = {}
        if now - self.scanned_at < SCAN_INTERVAL_S:
            return {}
        self.scanned_at = now
        tables = state.tables
        found: Copies = {}
        budget: CopyBudget | None = None
        racks: RackMap | None = None
        for key, run in list(self.runs.items()):
            active = tables.runs.get(run.task.name, ())
            if not any(one.key == key for one in active):
                del self.runs[key]
                self.projected.discard(key)
                continue
            if len(active) > 1 or run.vm in silent_vms or run.vm not in links:
                continue
            queue = tables.workflows[run.task.workflow].queue
            reason = self._judge(
                key, run=run, queue=queue, link=links[run.vm], durations=durations, ratings=ratings, now=now
            )
            pool = tables.queue_pools.get(queue, "")
            if not reason or pool in busy_pools:
                continue
            if not is_copy_allowed(tables=tables, indexes=state.indexes, task=run.task):
                continue
            if budget is None or racks is None:
                budget, racks = CopyBudget(tables=tables, silent_vms=silent_vms), RackMap(tables.vms)
            cpu_millis = tables.workflows[run.task.workflow].spec.steps[run.task.step].cpu_millis
            if not budget.has(pool, cpu_millis):
                continue
            budget.reserve(pool, cpu_millis)
            self.reasons[run.task] = reason
            step_key = StepKey(run.task.workflow, run.task.occurrence, run.task.step)
            found.setdefault(step_key, {})[run.task.number] = racks.vms_in_rack_of(run.vm)
        return found

    def _judge(
        self,
        key: str,
        *,
        run: CopyableRun,
        queue: str,
        link: VmLink,
        durations: DurationQuantiles,
        ratings: VmRatings,
        now: float,
    ) -> str:
        """Returns why a run gets a copy; empty if it does not."""
        if ratings.rating(run.vm) is not Rating.PREFERRED and not ratings.is_probe(run.vm, run_key=key):
            return "VM avoided"
        order_state = link.orders.order_states.get(key)
        row = link.listed_runs.get(key)
        if order_state is None or row is None or order_state.accepted_at > now:
            return ""
        median, slow = durations.read(queue, share=0.5), durations.read(queue, share=SLOW_SHARE)
        if median is None or slow is None:
            return ""
        pace = RunPace(
            elapsed_s=now - order_state.accepted_at,
            listed_s=link.answered_at - order_state.accepted_at,
            percent=row.percent,
        )
        declared_s = run.declared_ms / 1000
        if not is_slow(pace, usual_s=median * declared_s, slow_s=slow * declared_s):
            return ""
        if key not in self.projected:
            self.projected.add(key)
            ratings.record_projected_duration(vm=run.vm, task=run.task, duration_s=pace.total_s)
        return f"{pace.percent}% after {pace.listed_s:.2f} s, usual {median * declared_s:.2f} s"


__all__ = ["CopyableRuns"]

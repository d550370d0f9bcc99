"""Finds slow runs, and runs on avoided VMs, whose tasks may get a copy."""

from __future__ import annotations

import heapq
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
from hyssopway.workflow import TaskId

if TYPE_CHECKING:
    from collections.abc import Collection

    from hyssopway.scheduling.durations import DurationQuantiles
    from hyssopway.scheduling.vm_rating import VmRatings
    from hyssopway.workflow import RunStart, WorkflowState

    from .vm_link import VmLink

# A run that is not slow yet is judged again after this time, or when it has lasted unusually long.
RECHECK_S = 0.2
# Bounds the time that one round takes when most VMs are slow; a judgement takes 3 to 6 us.
MAX_JUDGED_PER_ROUND = 200
# First judgement of a run while too few runs of its queue have completed.
UNKNOWN_CHECK_S = 1.0


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

    Each run is judged when it has lasted unusually long and not in each round, because thousands of runs are in progress
    at full load.

    Attributes:
        runs: Runs by key.
        checks: Heap of the times of the next judgements, with the keys of the runs.
        projected: Keys of the slow runs whose pace the ratings have learned.
        reasons: Why the runs found last get a copy, by task ID.
    """

    __slots__ = ("checks", "projected", "reasons", "runs")

    def __init__(self) -> None:
        self.runs: dict[str, CopyableRun] = {}
        self.checks: list[tuple[float, str]] = []
        self.projected: set[str] = set()
        self.reasons: dict[TaskId, str] = {}

    def add(self, start: RunStart, *, state: WorkflowState, durations: DurationQuantiles, now: float) -> None:
        """Adds a start that was committed if its step may get copies."""
        task = TaskId.parse(start.task)
        workflow = state.tables.workflows.get(task.workflow)
        step = workflow.spec.steps[task.step] if workflow is not None else None
        if workflow is None or step is None or not step.duplicates:
            return
        if step.gang or step.long_running or step.fills:
            return
        key = f"{start.task}/{start.run}"
        self.runs[key] = CopyableRun(task=task, vm=start.vm, declared_ms=step.estimate_ms)
        slow = durations.read(workflow.queue, share=SLOW_SHARE)
        wait_s = UNKNOWN_CHECK_S if slow is None else max(RECHECK_S, slow * step.estimate_ms / 1000)
        heapq.heappush(self.checks, (now + wait_s, key))

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
        reasons = self._find_on_avoided_vms(state=state, ratings=ratings)
        reasons.update(
            self._find_slow(state=state, links=links, durations=durations, ratings=ratings, now=now)
        )
        if not reasons:
            return {}
        tables, found = state.tables, Copies()
        budget, racks = (
            CopyBudget(tables=tables, indexes=state.indexes, silent_vms=silent_vms),
            RackMap(tables.vms),
        )
        for key, reason in reasons.items():
            run = self.runs.get(key)
            if run is None:
                continue  # found to have ended meanwhile
            workflow = tables.workflows[run.task.workflow]
            pool = state.indexes.pool_of(workflow)
            cpu_millis = workflow.spec.steps[run.task.step].cpu_millis
            if pool in busy_pools or run.vm in silent_vms or not budget.has(pool, cpu_millis):
                continue
            if not is_copy_allowed(tables=tables, indexes=state.indexes, task=run.task):
                continue
            budget.reserve(pool, cpu_millis)
            self.reasons[run.task] = reason
            step_key = StepKey(run.task.workflow, run.task.occurrence, run.task.step)
            found.setdefault(step_key, {})[run.task.number] = racks.vms_in_rack_of(run.vm)
        return found

    def _find_on_avoided_vms(self, *, state: WorkflowState, ratings: VmRatings) -> dict[str, str]:
        return {
            key: f"VM {vm_id} avoided"
            for vm_id in ratings.list_avoided()
            if vm_id in state.tables.vms
            for key in sorted(state.tables.vms[vm_id].runs)
            if key in self.runs and not ratings.is_probe(vm_id, run_key=key)
        }

    def _find_slow(
        self,
        *,
        state: WorkflowState,
        links: dict[str, VmLink],
        durations: DurationQuantiles,
        ratings: VmRatings,
        now: float,
    ) -> dict[str, str]:
        tables = state.tables
        found: dict[str, str] = {}
        judged = 0
        while judged < MAX_JUDGED_PER_ROUND and self.checks and self.checks[0][0] <= now:
            _, key = heapq.heappop(self.checks)
            run = self.runs.get(key)
            if run is None:
                continue
            active = tables.runs.get(run.task.name, ())
            if run.vm not in links or not any(one.key == key for one in active):
                del self.runs[key]
                self.projected.discard(key)
                continue
            judged += 1
            heapq.heappush(self.checks, (now + RECHECK_S, key))
            if len(active) > 1:
                continue
            queue = tables.workflows[run.task.workflow].queue
            reason = self._judge(
                key, run=run, queue=queue, link=links[run.vm], durations=durations, ratings=ratings, now=now
            )
            if reason:
                found[key] = reason
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
        """Returns why a run is slow; empty if it is not."""
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

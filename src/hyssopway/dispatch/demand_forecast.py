"""Forecast of the CPU demand of each pool at the time when a machine ordered now arrives.

When a burst of a queue begins or ends, the CPU in use shows the change too late. The remaining steps of open workflows
and the rate of arriving workflows show it in advance. Where the bursts of the pools recur in turn, the next one is expected.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from hyssopway.scheduling.burst_sequence import BurstSequence

from .arrival_trend import WINDOW_S, expected_rate_per_s
from .ordering import remaining_steps

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from hyssopway.scheduling.burst_sequence import ExpectedBurst
    from hyssopway.workflow import Indexes, QueueId, Tables, Workflow, WorkflowSpec

    from .ordering import StepSpan

# Declared durations are rough, so the demand is the mean over a window of this length around the forecast time.
SMOOTHING_WINDOW_S = 1.0


class RecentArrivals:
    """Workflows of one pool that arrived within the last `WINDOW_S` seconds.

    Attributes:
        earlier: Number of arrivals in the first half of the window.
        later: Number of arrivals in the second half of the window.
        need: Work of all of them from their start until the forecast horizon, in millicore-milliseconds.
    """

    __slots__ = ("earlier", "later", "need")

    def __init__(self) -> None:
        self.earlier = 0
        self.later = 0
        self.need = 0.0

    def expected_demand(self, *, ahead_ms: float) -> float:
        """Returns the CPU demand, after `ahead_ms`, of workflows that arrive until then, in millicores.

        A workflow that arrives at a random time before then has a random age of up to `ahead_ms`.
        """
        rate_per_s = expected_rate_per_s(earlier=self.earlier, later=self.later, ahead_s=ahead_ms / 1000)
        return rate_per_s / 1000 * self.need / (self.earlier + self.later)


class DemandForecast:
    """Forecast of the CPU demand of each pool.

    Attributes:
        ahead_ms: Forecast horizon in milliseconds.
        scale: Returns the factor from declared to actual durations of a queue.
        demand: Forecast demand in millicores by pool.
        bursts: Bursts of the pools, as far as they follow each other.
        last_workflow: ID of the last workflow whose arrival was added to them; empty before the first.
        new_bursts: Bursts that the last update expected first.
        missed_bursts: Expected bursts that the last update dropped, because they had not begun.
    """

    __slots__ = ("ahead_ms", "bursts", "demand", "last_workflow", "missed_bursts", "new_bursts", "scale")

    def __init__(self, *, ahead_s: float, scale: Callable[[QueueId], float]) -> None:
        self.ahead_ms = ahead_s * 1000
        self.scale = scale
        self.demand: dict[str, float] = {}
        self.bursts: BurstSequence[Workflow] = BurstSequence(
            ahead_ms=self.ahead_ms, work_of=self._arriving_work
        )
        self.last_workflow = ""
        self.new_bursts: list[ExpectedBurst] = []
        self.missed_bursts: list[ExpectedBurst] = []

    def update(self, *, tables: Tables, indexes: Indexes, now_ms: float) -> None:
        """Computes the demand of all pools from open workflows and recent arrivals.

        Args:
            tables: Replicated data.
            indexes: Indexes over the data.
            now_ms: Wall-clock time in milliseconds.
        """
        self.demand = {}
        recent_by_pool: dict[str, RecentArrivals] = {}
        for workflow_id in indexes.open_workflows:
            workflow = tables.workflows[workflow_id]
            pool = indexes.pool_of(workflow)
            open_millis = self._open_workflow_millis(workflow)
            if open_millis:
                self.demand[pool] = self.demand.get(pool, 0.0) + open_millis
            age_s = (now_ms - workflow.accepted_ms) / 1000
            if age_s <= WINDOW_S and not workflow.spec.repeat_count:
                self._add_arrival(
                    workflow, recent=recent_by_pool.setdefault(pool, RecentArrivals()), age_s=age_s
                )
        self._add_new_workflows(tables, pool_of=indexes.pool_of, now_ms=now_ms)
        self.new_bursts, self.missed_bursts = self.bursts.update(now_ms)
        arriving_millis = {
            pool: arrivals.expected_demand(ahead_ms=self.ahead_ms)
            for pool, arrivals in recent_by_pool.items()
        }
        # Both are forecasts of the same arrivals, so the larger one counts.
        for pool, burst in self.bursts.expected.items():
            arriving_millis[pool] = max(arriving_millis.get(pool, 0.0), burst.demand_millis)
        for pool, millis in arriving_millis.items():
            self.demand[pool] = self.demand.get(pool, 0.0) + millis

    def read(self, pool: str) -> float:
        """Returns the forecast demand of a pool in millicores."""
        return self.demand.get(pool, 0.0)

    def _add_new_workflows(
        self, tables: Tables, *, pool_of: Callable[[Workflow], str], now_ms: float
    ) -> None:
        """Adds the arrivals of the workflows that were accepted since the last update.

        New workflows are appended to the table. All are read again if the last one that was read has been deleted.
        """
        if self.last_workflow not in tables.workflows or self.bursts.is_ahead_of(now_ms):
            self.bursts.clear(now_ms)
            self.last_workflow = ""
        self.bursts.advance(now_ms)
        new = []
        for workflow_id, workflow in reversed(tables.workflows.items()):
            if workflow_id == self.last_workflow:
                break
            new.append(workflow)
        add = self.bursts.add
        for workflow in reversed(new):
            if _is_short(workflow.spec):
                add(pool_of(workflow), at_ms=workflow.accepted_ms, item=workflow)
        if new:
            self.last_workflow = new[0].workflow_id

    def _open_workflow_millis(self, workflow: Workflow) -> float:
        start_ms, end_ms = self.ahead_ms - SMOOTHING_WINDOW_S * 500, self.ahead_ms + SMOOTHING_WINDOW_S * 500
        scale = self.scale(workflow.queue)
        return sum(
            _work_between(
                remaining_steps(spec=workflow.spec, progress=progress, scale=scale), start_ms, end_ms
            )
            for progress in workflow.progress.values()
        ) / (end_ms - start_ms)

    def _add_arrival(self, workflow: Workflow, *, recent: RecentArrivals, age_s: float) -> None:
        if age_s > WINDOW_S / 2:
            recent.earlier += 1
        else:
            recent.later += 1
        recent.need += self._arriving_work(workflow)

    def _arriving_work(self, workflow: Workflow) -> float:
        """Returns the work of a workflow from its start until the forecast horizon, in millicore-milliseconds."""
        spans = remaining_steps(spec=workflow.spec, progress=None, scale=self.scale(workflow.queue))
        return _work_between(spans, 0.0, self.ahead_ms)


def _is_short(spec: WorkflowSpec) -> bool:
    """Returns whether a workflow runs once and has steps that are neither long-running nor best-effort."""
    if spec.repeat_count:
        return False
    # A loop, since a new leader checks thousands of workflows at once and a generator takes several times as long.
    for step in spec.steps:  # noqa: SIM110
        if not (step.long_running or step.fills):
            return True
    return False


def _work_between(spans: Iterable[StepSpan], start_ms: float, end_ms: float) -> float:
    """Returns the work of time spans between two times, in millicore-milliseconds."""
    return sum(
        span.cpu_millis * max(0.0, min(span.end_ms, end_ms) - max(span.start_ms, start_ms)) for span in spans
    )


__all__ = ["SMOOTHING_WINDOW_S", "DemandForecast"]

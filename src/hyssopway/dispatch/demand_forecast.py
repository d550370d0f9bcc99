"""Forecasts the processor that the work of each pool needs when a machine ordered now arrives.

Answers the load pattern of a queue whose turn begins or ends: the processor in use shows a rise too late and a fall
too late, while the steps of the workflows that are open, and of those that arrive, show both before.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from .arrival_trend import WINDOW_S, expected_rate_per_s
from .ordering import remaining_steps

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from hyssopway.workflow import Indexes, Tables, Workflow

    from .ordering import StepSpan

# Declared durations are rough, so the demand of one moment is the mean over this span around it.
SMOOTH_S = 1.0


class RecentArrivals:
    """Workflows of one pool that arrived a moment ago.

    Attributes:
        earlier: Number of those in the first half of the window.
        later: Number of those in its second half.
        need: What each of them needs over the span ahead, summed; thousandths of a core times milliseconds.
    """

    __slots__ = ("earlier", "later", "need")

    def __init__(self) -> None:
        self.earlier = 0
        self.later = 0
        self.need = 0.0

    def expected_need(self, *, ahead_ms: float) -> float:
        """Returns what those that arrive until the moment ahead need at that moment, in thousandths of a core.

        One that arrives at a random time before the moment is then at a random age up to `ahead_ms`.
        """
        rate_per_s = expected_rate_per_s(earlier=self.earlier, later=self.later, ahead_s=ahead_ms / 1000)
        return rate_per_s / 1000 * self.need / (self.earlier + self.later)


class DemandForecast:
    """Demand of each pool at one moment ahead.

    Attributes:
        ahead_ms: How far ahead the moment lies.
        scale: Factor from declared to real durations by queue.
        demand: Thousandths of a core by pool.
    """

    __slots__ = ("ahead_ms", "demand", "scale")

    def __init__(self, *, ahead_s: float, scale: Callable[[str], float]) -> None:
        self.ahead_ms = ahead_s * 1000
        self.scale = scale
        self.demand: dict[str, float] = {}

    def update(self, *, tables: Tables, indexes: Indexes, now_ms: float) -> None:
        """Works the demand out from all open workflows and the latest arrivals."""
        self.demand = {}
        recent: dict[str, RecentArrivals] = {}
        for workflow_id in indexes.open_workflows:
            workflow = tables.workflows[workflow_id]
            pool = tables.queue_pools.get(workflow.queue, "")
            needed = self._need_of_open(workflow)
            if needed:
                self.demand[pool] = self.demand.get(pool, 0.0) + needed
            age_s = (now_ms - workflow.accepted_ms) / 1000
            if age_s <= WINDOW_S and not workflow.spec.repeat_count:
                self._take_arrival(workflow, recent=recent.setdefault(pool, RecentArrivals()), age_s=age_s)
        for pool, arrivals in recent.items():
            coming = arrivals.expected_need(ahead_ms=self.ahead_ms)
            self.demand[pool] = self.demand.get(pool, 0.0) + coming

    def read(self, pool: str) -> float:
        """Returns the demand of a pool in thousandths of a core."""
        return self.demand.get(pool, 0.0)

    def _need_of_open(self, workflow: Workflow) -> float:
        start_ms, end_ms = self.ahead_ms - SMOOTH_S * 500, self.ahead_ms + SMOOTH_S * 500
        scale = self.scale(workflow.queue)
        return sum(
            _work_between(
                remaining_steps(spec=workflow.spec, progress=progress, scale=scale), start_ms, end_ms
            )
            for progress in workflow.progress.values()
        ) / (end_ms - start_ms)

    def _take_arrival(self, workflow: Workflow, *, recent: RecentArrivals, age_s: float) -> None:
        if age_s > WINDOW_S / 2:
            recent.earlier += 1
        else:
            recent.later += 1
        spans = remaining_steps(spec=workflow.spec, progress=None, scale=self.scale(workflow.queue))
        recent.need += _work_between(spans, 0.0, self.ahead_ms)


def _work_between(spans: Iterable[StepSpan], start_ms: float, end_ms: float) -> float:
    """Returns the processor in use between two moments, times milliseconds."""
    return sum(
        span.cpu_millis * max(0.0, min(span.end_ms, end_ms) - max(span.start_ms, start_ms)) for span in spans
    )


__all__ = ["SMOOTH_S", "DemandForecast"]

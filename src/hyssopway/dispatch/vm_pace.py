"""Pace of the best-effort tasks on one VM, and the orders that set it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hyssopway.workflow import TaskId

from .pace_control import FULL_PERCENT, LatencySample, PaceControl

if TYPE_CHECKING:
    from hyssopway.workflow import Step

    from .leadership import Leadership
    from .listed_run import ListedRun
    from .pace_history import PaceHistory
    from .run_orders import RunOrders

# Listed percent of a long-running run that has started up and whose pace is not limited.
UNTHROTTLED_PERCENT = 100


class VmPace:
    """Controls the pace of the best-effort tasks on one VM, on behalf of one leader.

    Attributes:
        leadership: Term on whose behalf the pace is ordered.
        orders: Orders to the VM.
        control: Chooses the pace.
    """

    __slots__ = ("control", "leadership", "orders")

    def __init__(
        self, *, leadership: Leadership, orders: RunOrders, history: PaceHistory, pacing_s: float
    ) -> None:
        self.leadership = leadership
        self.orders = orders
        self.control = PaceControl(history=history, pacing_s=pacing_s)

    def update(self, listed_runs: dict[str, ListedRun], *, now: float) -> None:
        """Updates the pace from the runs that the VM lists, and orders it for best-effort runs that have another.

        Args:
            listed_runs: Listed runs by run key.
            now: Local time in seconds.
        """
        use = self.leadership.state.indexes.vm_usage.get(self.orders.vm_id)
        if use is None or not use.best_effort:
            return
        steps = {
            key: step
            for key, listed_run in listed_runs.items()
            if (step := self._find_step(listed_run)) is not None
        }
        best_effort = [key for key, step in steps.items() if step.fills]
        latency_bound = [
            LatencySample(image=step.image, target_ms=step.target_ms, tail_ms=listed_runs[key].reading)
            for key, step in steps.items()
            if step.target_ms and not step.fills and listed_runs[key].percent == UNTHROTTLED_PERCENT
        ]
        percent = self.control.choose_percent(
            latency_bound=latency_bound, best_effort=[steps[key].image for key in best_effort], now=now
        )
        for key in best_effort:
            if self._ordered_percent(key, listed_run=listed_runs[key]) != percent:
                self.orders.request_pace(
                    task=listed_runs[key].task, run=listed_runs[key].run, percent=percent
                )

    def _ordered_percent(self, key: str, *, listed_run: ListedRun) -> int | None:
        """Returns the pace of a run in percent, or None when a former leader may have changed it."""
        known = self.orders.paces.get(key)
        if known is not None:
            return known
        runs = self.leadership.state.tables.runs.get(listed_run.task, ())
        is_started_in_term = any(run.key == key and run.fencing_token == self.leadership.term for run in runs)
        return FULL_PERCENT if is_started_in_term else None

    def _find_step(self, listed_run: ListedRun) -> Step | None:
        task = TaskId.parse(listed_run.task)
        workflow = self.leadership.state.tables.workflows.get(task.workflow)
        return workflow.spec.steps[task.step] if workflow is not None else None


__all__ = ["UNTHROTTLED_PERCENT", "VmPace"]

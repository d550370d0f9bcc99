"""Keeps the pace of the tasks that fill on one VM."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hyssopway.workflow import TaskId

from .pace_control import FULL_PERCENT, PaceControl, ServingReading

if TYPE_CHECKING:
    from hyssopway.workflow import Step

    from .leadership import Leadership
    from .listed_run import ListedRun
    from .pace_history import PaceHistory
    from .run_orders import RunOrders

AT_WORK_PERCENT = 100


class VmPace:
    """Pace of the tasks that fill on one VM, as one leader orders it.

    Attributes:
        leadership: The term.
        orders: Orders to the VM.
        control: Decides the share.
    """

    __slots__ = ("control", "leadership", "orders")

    def __init__(
        self, *, leadership: Leadership, orders: RunOrders, history: PaceHistory, pacing_s: float
    ) -> None:
        self.leadership = leadership
        self.orders = orders
        self.control = PaceControl(history=history, pacing_s=pacing_s)

    def update(self, rows: dict[str, ListedRun], *, now: float) -> None:
        """Takes in a listing of the VM's runs and orders the pace of those that fill."""
        use = self.leadership.state.indexes.vm_usage.get(self.orders.vm_id)
        if use is None or not use.best_effort:
            return
        steps = {key: step for key, row in rows.items() if (step := self._find_step(row)) is not None}
        filling = [key for key, step in steps.items() if step.fills]
        serving = [
            ServingReading(image=step.image, target_ms=step.target_ms, tail_ms=rows[key].reading)
            for key, step in steps.items()
            if step.target_ms and not step.fills and rows[key].percent == AT_WORK_PERCENT
        ]
        percent = self.control.choose(serving=serving, filling=[steps[key].image for key in filling], now=now)
        for key in filling:
            if self._ordered_percent(key, row=rows[key]) != percent:
                self.orders.request_pace(task=rows[key].task, run=rows[key].run, percent=percent)

    def _ordered_percent(self, key: str, *, row: ListedRun) -> int | None:
        """Returns the pace that a run has, or None when a former leader may have changed it."""
        known = self.orders.paces.get(key)
        if known is not None:
            return known
        runs = self.leadership.state.tables.runs.get(row.task, ())
        is_own = any(run.key == key and run.fencing_token == self.leadership.term for run in runs)
        return FULL_PERCENT if is_own else None

    def _find_step(self, row: ListedRun) -> Step | None:
        task = TaskId.parse(row.task)
        workflow = self.leadership.state.tables.workflows.get(task.workflow)
        return workflow.spec.steps[task.step] if workflow is not None else None


__all__ = ["VmPace"]

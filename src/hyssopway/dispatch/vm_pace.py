"""Pace of the best-effort tasks on one VM, and the orders that set it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hyssopway.scheduling.latency_sample import LatencySample
from hyssopway.workflow import TaskId

from .pace_control import FULL_PERCENT, PaceControl

if TYPE_CHECKING:
    from hyssopway.scheduling.interference import InterferenceModel
    from hyssopway.workflow import Step

    from .leadership import Leadership
    from .listed_run import ListedRun
    from .run_orders import RunOrders

# Listed percent of a long-running run that has started up and whose pace is not limited.
UNTHROTTLED_PERCENT = 100
# Longest time that one reading accounts for; the time between two polls is shorter while the VM answers.
MAX_READING_S = 1.0


class VmPace:
    """Controls the pace of the best-effort tasks on one VM, on behalf of one leader.

    Attributes:
        leadership: Term on whose behalf the pace is ordered.
        pacing_s: Longest time in seconds until an order for a pace takes effect.
        orders: Orders to the VM.
        interference: Learns from the readings of latency-bound runs.
        control: Chooses the pace.
        run_keys: Keys of the best-effort and latency-bound runs of the last poll.
        unchanged_since: Local time since which these have been the same.
        learned_at: Local time of the last readings that were learned.
        counted_at: Local time of the last readings that were counted.
    """

    __slots__ = (
        "control",
        "counted_at",
        "interference",
        "leadership",
        "learned_at",
        "orders",
        "pacing_s",
        "run_keys",
        "unchanged_since",
    )

    def __init__(
        self, *, leadership: Leadership, orders: RunOrders, interference: InterferenceModel, pacing_s: float
    ) -> None:
        self.leadership = leadership
        self.orders = orders
        self.interference = interference
        self.pacing_s = pacing_s
        self.discard_boot()

    def discard_boot(self) -> None:
        """Starts anew for the next boot of the VM: its runs begin at full pace, and it may be of another kind."""
        self.control = PaceControl(interference=self.interference, pacing_s=self.pacing_s)
        self.run_keys: frozenset[str] = frozenset()
        self.unchanged_since = self.learned_at = self.counted_at = self.leadership.clock()

    def update(self, listed_runs: dict[str, ListedRun], *, now: float) -> None:
        """Updates the pace from the runs that the VM lists, and orders it for best-effort runs that have another.

        Args:
            listed_runs: Listed runs by run key.
            now: Local time in seconds.
        """
        use = self.leadership.state.indexes.vm_usage.get(self.orders.vm_id)
        if use is None or not (use.best_effort or use.latency_bound):
            return
        steps = {
            key: step
            for key, listed_run in listed_runs.items()
            if (step := self._find_step(listed_run)) is not None
        }
        best_effort = [key for key, step in steps.items() if step.fills]
        samples = {
            key: LatencySample(image=step.image, target_ms=step.target_ms, tail_ms=listed_runs[key].reading)
            for key, step in steps.items()
            if step.target_ms and not step.fills and listed_runs[key].percent == UNTHROTTLED_PERCENT
        }
        ordered = {key: self._ordered_percent(key, listed_run=listed_runs[key]) for key in best_effort}
        self._learn(
            samples, neighbours={key: (steps[key].image, ordered[key]) for key in best_effort}, now=now
        )
        if not use.best_effort:
            return
        percent = self.control.choose_percent(
            latency_bound=list(samples.values()),
            best_effort=[steps[key].image for key in best_effort],
            now=now,
        )
        for key in best_effort:
            if ordered[key] != percent:
                self.orders.request_pace(
                    task=listed_runs[key].task, run=listed_runs[key].run, percent=percent
                )

    def _learn(
        self,
        samples: dict[str, LatencySample],
        *,
        neighbours: dict[str, tuple[str, int | None]],
        now: float,
    ) -> None:
        """Counts the time of the readings, and learns from them once they show only the present paces.

        Args:
            samples: Readings of the latency-bound runs by run key.
            neighbours: Image and pace in percent of each best-effort run by run key; the pace may be unknown.
            now: Local time in seconds.
        """
        elapsed_s = min(MAX_READING_S, now - self.counted_at)
        self.counted_at = now
        for sample in samples.values():
            self.interference.count_time(sample, elapsed_s=elapsed_s, has_neighbours=bool(neighbours))
        run_keys = frozenset((*samples, *neighbours))
        if run_keys != self.run_keys:
            self.run_keys = run_keys
            self.unchanged_since = now
        # Pace control adjusts the pace from the same reading on; a later condition would miss each pace that is
        # decreased as soon as its effect shows.
        constant_since = max(self.unchanged_since, self.control.changed_at if neighbours else 0.0)
        is_confirmed = all(percent == self.control.percent for _, percent in neighbours.values())
        if now - constant_since < self.control.settle_s or not is_confirmed:
            return
        exposures: dict[str, float] = {}
        for image, _ in neighbours.values():
            exposures[image] = exposures.get(image, 0.0) + self.control.percent / FULL_PERCENT
        elapsed_s = now - max(self.learned_at, constant_since)
        for sample in samples.values():
            self.interference.learn(sample, exposures=exposures, elapsed_s=elapsed_s, now=now)
        self.learned_at = now

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

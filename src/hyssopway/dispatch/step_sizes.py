"""Mean CPU demand of the steps of each pool."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hyssopway.workflow import Indexes, Tables

# Weight of a new step in the exponential moving average.
SMOOTHING_FACTOR = 0.05


class StepSizes:
    """Learns the mean CPU demand of a step of each pool, without long-running and best-effort steps.

    Attributes:
        means: Exponential moving average of the demand in millicores by pool.
        last_ms: Wall-clock time in milliseconds up to which accepted workflows are counted.
    """

    __slots__ = ("last_ms", "means")

    def __init__(self) -> None:
        self.means: dict[str, float] = {}
        self.last_ms = 0

    def update(self, *, tables: Tables, indexes: Indexes) -> None:
        """Adds the steps of workflows that were accepted since the last call."""
        newest_ms = self.last_ms
        for workflow_id in reversed(indexes.open_workflows):
            workflow = tables.workflows[workflow_id]
            if workflow.accepted_ms <= self.last_ms:
                break
            newest_ms = max(newest_ms, workflow.accepted_ms)
            pool = indexes.pool_of(workflow)
            for step in workflow.spec.steps:
                if not step.long_running and not step.fills:
                    self._add(pool, size=step.count * step.cpu_millis)
        self.last_ms = newest_ms

    def read(self, pool: str) -> float:
        """Returns the mean demand of a step of a pool in millicores; 0 while it has had none."""
        return self.means.get(pool, 0.0)

    def _add(self, pool: str, *, size: int) -> None:
        mean = self.means.get(pool)
        self.means[pool] = size if mean is None else mean + SMOOTHING_FACTOR * (size - mean)


__all__ = ["StepSizes"]

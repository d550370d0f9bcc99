"""Learns how wide the steps of each pool are."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hyssopway.workflow import Indexes, Tables

# Share that one more workflow has in the mean.
WEIGHT = 0.05


class StepSizes:
    """Mean processor of one step by pool.

    Attributes:
        means: Thousandths of a core by pool.
        last_ms: Wall-clock time up to which workflows are counted.
    """

    __slots__ = ("last_ms", "means")

    def __init__(self) -> None:
        self.means: dict[str, float] = {}
        self.last_ms = 0

    def follow(self, *, tables: Tables, indexes: Indexes) -> None:
        """Takes in workflows that were accepted since the last call."""
        newest_ms = self.last_ms
        for workflow_id in reversed(indexes.open_workflows):
            workflow = tables.workflows[workflow_id]
            if workflow.accepted_ms <= self.last_ms:
                break
            newest_ms = max(newest_ms, workflow.accepted_ms)
            pool = tables.queue_pools.get(workflow.queue, "")
            for step in workflow.spec.steps:
                if not step.long_running and not step.fills:
                    self._add(pool, size=step.count * step.cpu_millis)
        self.last_ms = newest_ms

    def read(self, pool: str) -> float:
        """Returns the mean of a pool; 0 while nothing is known."""
        return self.means.get(pool, 0.0)

    def _add(self, pool: str, *, size: int) -> None:
        known = self.means.get(pool)
        self.means[pool] = size if known is None else known + WEIGHT * (size - known)


__all__ = ["StepSizes"]

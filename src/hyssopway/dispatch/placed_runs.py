"""Runs of steps by VM, as one scheduling round sees them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hyssopway.workflow import TaskId

if TYPE_CHECKING:
    from hyssopway.workflow import Tables, Workflow


class PlacedRuns:
    """Counts the runs of steps by VM: those in progress, and the starts that the round has placed so far.

    All placements of a round share one instance, so that a later one sees the starts of the earlier ones.

    Attributes:
        tables: Replicated data.
        by_step: Number of runs by VM ID, by workflow, occurrence and number of the step.
    """

    __slots__ = ("by_step", "tables")

    def __init__(self, *, tables: Tables) -> None:
        self.tables = tables
        self.by_step: dict[tuple[str, int, int], dict[str, int]] = {}

    def of_step(self, workflow: Workflow, *, occurrence: int, number: int) -> dict[str, int]:
        """Returns the number of runs of a step by VM ID; who places a task of the step counts it there.

        The runs in progress of a step that neither has a spread limit nor is long-running are not counted.
        """
        key = (workflow.workflow_id, occurrence, number)
        placed = self.by_step.get(key)
        if placed is None:
            placed = self.by_step[key] = self._count(workflow, occurrence=occurrence, number=number)
        return placed

    def _count(self, workflow: Workflow, *, occurrence: int, number: int) -> dict[str, int]:
        step = workflow.spec.steps[number]
        progress = workflow.progress[occurrence][number]
        placed: dict[str, int] = {}
        if not (step.spread_limit or step.long_running) or len(progress.pending) == step.count:
            return placed
        for index in range(step.count):
            task = TaskId(workflow.workflow_id, occurrence, number, index).name
            for run in self.tables.runs.get(task, ()):
                placed[run.vm] = placed.get(run.vm, 0) + 1
        return placed


__all__ = ["PlacedRuns"]

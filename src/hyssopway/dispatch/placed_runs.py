"""Runs of steps by VM, as one scheduling round sees them."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from hyssopway.workflow import TaskId

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

    from hyssopway.workflow import Tables, Workflow

    from .vm_link import VmLink


# A VM that answered a poll within this time has not restarted since; its next boot needs longer to begin.
FRESH_ANSWER_S = 0.2


class PlacedRuns:
    """Counts the runs of steps by VM: those in progress, those that only the VM still has, and the starts of the round.

    All placements of a round share one instance, so that a later one sees the starts of the earlier ones.

    Attributes:
        tables: Replicated data.
        ended: Runs that a VM may work on although their ends are committed, by step; the VM of each.
        unknown: IDs of the VMs that may still be stopping runs which nobody has listed to this leader.
        by_step: Number of runs by VM ID, by workflow, occurrence and number of the step.
    """

    __slots__ = ("by_step", "ended", "tables", "unknown")

    def __init__(self, *, tables: Tables, links: Mapping[str, VmLink], now: float) -> None:
        self.tables = tables
        self.unknown = [vm_id for vm_id, link in links.items() if link.may_stop_unknown_runs(now)]
        self.ended: dict[str, list[str]] = {}
        for vm_id, link in links.items():
            for key in _list_ended_runs(link, now=now):
                step_name = TaskId.parse(key.rpartition("/")[0]).step_name
                self.ended.setdefault(step_name, []).append(vm_id)
        self.by_step: dict[tuple[str, int, int], dict[str, int]] = {}

    def of_step(self, workflow: Workflow, *, occurrence: int, number: int) -> dict[str, int]:
        """Returns the number of runs of a step by VM ID; who places a task of the step counts it there.

        Only the starts of the round are counted for a step that neither has a spread limit nor is long-running. A VM that
        may be stopping unknown runs counts as if the spread limit were reached there.
        """
        key = (workflow.workflow_id, occurrence, number)
        placed = self.by_step.get(key)
        if placed is None:
            placed = self.by_step[key] = self._count(workflow, occurrence=occurrence, number=number)
        return placed

    def _count(self, workflow: Workflow, *, occurrence: int, number: int) -> dict[str, int]:
        step = workflow.spec.steps[number]
        progress = workflow.progress[occurrence][number]
        if not (step.spread_limit or step.long_running):
            return {}
        step_name = TaskId(workflow.workflow_id, occurrence, number, 0).step_name
        placed = Counter(self.ended.get(step_name, ()))
        for vm_id in self.unknown:
            placed[vm_id] += step.spread_limit
        if len(progress.pending) < step.count:
            for index in range(step.count):
                placed.update(run.vm for run in self.tables.runs.get(f"{step_name}.{index}", ()))
        return placed


def _list_ended_runs(link: VmLink, *, now: float) -> Iterator[str]:
    """Yields the keys of runs that a VM may work on although their ends are committed."""
    yield from link.stopping.missing_since
    if now - link.answered_at > FRESH_ANSWER_S:
        # It may have restarted since, and its next boot carries out late starts of runs that the one before has ended.
        yield from link.orders.late_starts.list_ended_for_next_boot()


__all__ = ["PlacedRuns"]

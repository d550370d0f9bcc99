"""Runs that a VM may still work on or stop although their ends are committed."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hyssopway.workflow import TaskId, Usage

if TYPE_CHECKING:
    from collections.abc import Iterable

    from hyssopway.workflow import Tables


class StoppingRuns:
    """Runs that a VM listed after their ends had been committed, and runs whose lease ended without contact.

    They are told to stop. A run that is being stopped is not listed, and its resources are free only once it has ended. A
    stop that was sent before contact was lost may be carried out when contact is back.

    Attributes:
        stop_s: Longest time that the VM takes to stop a run.
        missing_since: Local time at which the first list without the run arrived, by run key; infinite while it is listed
            and while the VM is out of contact.
    """

    __slots__ = ("missing_since", "stop_s")

    def __init__(self, *, stop_s: float) -> None:
        self.stop_s = stop_s
        self.missing_since: dict[str, float] = {}

    def update(
        self, *, listed: Iterable[str], ended: Iterable[str], sent_at: float, answered_at: float
    ) -> None:
        """Takes the answer to a poll.

        Args:
            listed: Keys of the listed runs whose ends are committed.
            ended: Keys of the runs whose ends were listed.
            sent_at: Local time at which the poll was sent.
            answered_at: Local time at which its answer arrived. A VM may write the list shortly before that time.
        """
        for key, since in list(self.missing_since.items()):
            self.missing_since[key] = min(since, answered_at)
            if sent_at - since > self.stop_s:
                del self.missing_since[key]
        for key in listed:
            self.missing_since[key] = float("inf")
        for key in ended:
            self.missing_since.pop(key, None)

    def add_lapsed(self, keys: Iterable[str]) -> None:
        """Adds runs whose lease has ended while their VM was out of contact."""
        self.missing_since.update(dict.fromkeys(keys, float("inf")))

    def clear(self) -> None:
        """Forgets the runs of a boot that has ended."""
        self.missing_since.clear()

    def measure_usage(self, tables: Tables) -> Usage:
        """Returns the resources of the runs, without the CPU of best-effort tasks."""
        usage = Usage()
        for key in self.missing_since:
            task = TaskId.parse(key.rpartition("/")[0])
            workflow = tables.workflows.get(task.workflow)
            if workflow is None:
                continue  # its record has been deleted
            step = workflow.spec.steps[task.step]
            usage.add(step, sign=1)
            if step.fills:
                usage.cpu_millis -= step.cpu_millis
        return usage


__all__ = ["StoppingRuns"]

"""Reports the runs that were lost with their VM, and the tasks that probably crash their VMs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hyssopway.event import Event, log_event
from hyssopway.workflow import NO_CRASHES, SUSPICIOUS_CRASHES, TaskId, WorkflowStatus

from .start_log import MAX_RUNS_PER_LOG_LINE

if TYPE_CHECKING:
    from collections import Counter
    from collections.abc import Collection

    from hyssopway.workflow import Tables, VmRecord


class LostRuns:
    """Runs that are about to end because the boot of their VM has ended.

    Attributes:
        vm_id: ID of the VM.
        keys: Keys of the runs in progress, and of those whose lease had ended while the VM was out of contact.
        just_started: Keys of the runs that the VM had not listed yet.
    """

    __slots__ = ("just_started", "keys", "vm_id")

    def __init__(self, record: VmRecord, *, just_started: Collection[str] = ()) -> None:
        self.vm_id = record.vm_id
        self.keys = sorted(record.runs | record.lapsed)
        self.just_started = frozenset(just_started)

    def report(self, *, reason: str, counters: Counter[str]) -> None:
        """Logs and counts the runs.

        Args:
            reason: How the end of the boot was noticed.
            counters: Numbers of scheduling decisions of this term, by name.
        """
        if not self.keys:
            return
        counters["vms_lost_with_runs"] += 1
        counters["runs_lost_with_vms"] += len(self.keys)
        for offset in range(0, len(self.keys), MAX_RUNS_PER_LOG_LINE):
            batch = self.keys[offset : offset + MAX_RUNS_PER_LOG_LINE]
            log_event(
                Event.RUNS_LOST,
                vm=self.vm_id,
                count=len(self.keys),
                runs=batch,
                just_started=[key for key in batch if key in self.just_started],
                reason=reason,
            )

    def report_suspects(self, tables: Tables, *, counters: Counter[str]) -> None:
        """Logs the tasks of the runs under which several VMs have ended, and counts those that were given up.

        Args:
            tables: Replicated data after the runs were ended.
            counters: Numbers of scheduling decisions of this term, by name.
        """
        suspects: dict[str, int] = {}
        given_up: list[str] = []
        for key in self.keys:
            name = key.rpartition("/")[0]
            task = TaskId.parse(name)
            workflow = tables.workflows.get(task.workflow)
            if workflow is None:
                continue
            count = workflow.progress[task.occurrence][task.step].crashes.get(task.number, NO_CRASHES)
            if count.total >= SUSPICIOUS_CRASHES:
                suspects[name] = count.total
                if workflow.status is WorkflowStatus.FAILED:
                    given_up.append(name)
        if not suspects:
            return
        counters["tasks_given_up_for_crashes"] += len(given_up)
        log_event(Event.TASKS_SUSPECTED, count=len(suspects), vms=suspects, given_up=given_up)


__all__ = ["LostRuns"]

"""Applies commands for workflows and their runs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .active_run import ActiveRun
from .apply_crashes import clear_lapsed, count_crashes, record_lapsed
from .late_failures import count_failure, count_late_failure, record_unreported
from .queue_id import QueueId
from .run_outcome import RunOutcome
from .start_rules import SkippedStart, find_broken_rule, group_starts
from .state_version import BEGUN_WORKFLOWS_VERSION, ENDS_COUNT_ONCE_VERSION, QUEUE_IDS_VERSION
from .task_id import TaskId
from .workflow import Workflow
from .workflow_end import end_workflow, mark_runs_to_stop
from .workflow_status import WorkflowStatus

if TYPE_CHECKING:
    from collections.abc import Collection

    from .commands import (
        AcceptWorkflow,
        AddOccurrence,
        CancelWorkflow,
        DeleteWorkflows,
        EndRuns,
        RunStart,
        StartRuns,
    )
    from .indexes import Indexes
    from .run_end import RunEnd
    from .tables import Tables
    from .vm_record import VmRecord


def accept_workflow(tables: Tables, indexes: Indexes, command: AcceptWorkflow) -> None:
    """Stores a workflow unless its ID is known."""
    if command.workflow_id in tables.workflows:
        return
    workflow = Workflow(
        workflow_id=command.workflow_id,
        queue=_find_queue_id(tables, indexes, command),
        team=command.team,
        spec=command.spec,
        accepted_ms=command.at_ms,
    )
    if not command.spec.repeat_count:
        workflow.add_occurrence(0)
    tables.workflows[command.workflow_id] = workflow
    indexes.open_workflows[command.workflow_id] = None


def _find_queue_id(tables: Tables, indexes: Indexes, command: AcceptWorkflow) -> QueueId:
    name = QueueId(command.queue)
    if tables.version < QUEUE_IDS_VERSION:
        return name
    return command.queue_id or indexes.queue_id_by_name.get(command.queue, name)


def add_occurrence(tables: Tables, command: AddOccurrence) -> None:
    """Adds the tasks of an occurrence of a scheduled workflow that is due."""
    workflow = tables.workflows.get(command.workflow_id)
    if workflow is not None and not workflow.status.is_final:
        workflow.add_occurrence(command.occurrence)


def cancel_workflow(tables: Tables, indexes: Indexes, command: CancelWorkflow) -> None:
    """Cancels a workflow that has not ended; the records of its runs stay until the runs end."""
    workflow = tables.workflows.get(command.workflow_id)
    if workflow is not None and not workflow.status.is_final:
        end_workflow(tables, indexes, workflow, status=WorkflowStatus.CANCELLED, at_ms=command.at_ms)


def delete_workflows(tables: Tables, command: DeleteWorkflows) -> None:
    """Deletes workflows that have ended and have no run in progress."""
    running = {TaskId.parse(task).workflow for task in tables.runs}
    for workflow_id in command.workflow_ids:
        workflow = tables.workflows.get(workflow_id)
        if workflow is not None and workflow.status.is_final and workflow_id not in running:
            del tables.workflows[workflow_id]


def start_runs(tables: Tables, indexes: Indexes, command: StartRuns) -> list[SkippedStart]:
    """Starts the runs of a command that break no rule, and returns the starts that were skipped."""
    skipped: list[SkippedStart] = []
    for group in group_starts(tables, command.starts):
        rule = find_broken_rule(tables, indexes, group=group)
        if rule is not None:
            skipped += [SkippedStart(start=start, rule=rule) for start in group]
            continue
        for start in group:
            _start_run(
                tables, indexes, start=start, fencing_token=command.fencing_token, started_ms=command.at_ms
            )
    return skipped


def end_runs(tables: Tables, indexes: Indexes, command: EndRuns) -> None:
    """Ends the runs of a command; an end that is already known changes nothing."""
    vm = tables.vms.get(command.vm)
    if vm is not None and vm.boot != command.boot:
        vm = None
    if vm is not None:
        vm.last_end = max(vm.last_end, command.last_end)
        _update_lapsed(tables, indexes, vm=vm, command=command)
    started_ms: dict[str, int] = {}
    if vm is not None and command.boot_ended:
        started_ms = list_start_times(
            tables, vm=vm, keys=_mark_counted(tables, vm=vm, keys=command.lost_at_work)
        )
    for end in command.ends:
        is_ended = end_run(
            tables,
            indexes,
            end=end,
            vm=command.vm,
            boot=command.boot,
            at_ms=command.at_ms,
            completes_gang=command.completes_gangs,
        )
        if is_ended and _has_begun(end, command=command) and tables.version >= BEGUN_WORKFLOWS_VERSION:
            tables.workflows[TaskId.parse(end.task).workflow].has_begun = True
        if vm is not None and command.last_end:
            count_late_failure(tables, indexes, vm=vm, end=end, at_ms=command.at_ms)
        elif vm is not None and is_ended:
            record_unreported(tables, vm=vm, end=end)
    if vm is not None and command.boot_ended:
        count_crashes(
            tables,
            indexes,
            vm=vm,
            started_ms=started_ms,
            just_started=command.just_started,
            unconfirmed=command.unconfirmed,
            holds_back=command.holds_back,
            at_ms=command.at_ms,
        )


def _has_begun(end: RunEnd, *, command: EndRuns) -> bool:
    """Returns whether a run that has ended is known to have started on its VM.

    The start of a run may not have reached a VM whose boot has ended, or whose lease has expired without contact.
    """
    match end.outcome:
        case RunOutcome.NOT_STARTED:
            return False
        case RunOutcome.LAPSED if command.last_end:
            return True
        case RunOutcome.LOST if not command.boot_ended:
            return True  # the VM had accepted the run and does not list it any more
        case RunOutcome.LOST | RunOutcome.LAPSED:
            key = f"{end.task}/{end.run}"
            return key in command.lost_at_work and key not in command.unconfirmed
        case _:
            return True


def _mark_counted(tables: Tables, *, vm: VmRecord, keys: Collection[str]) -> set[str]:
    """Returns the keys of the runs for which the end of the VM's boot has not been counted yet, and marks these runs.

    The end of a boot is committed again if the command that replaces the boot was lost after it. Runs that are kept in
    progress would count twice.
    """
    if tables.version < ENDS_COUNT_ONCE_VERSION:
        return set(keys)
    runs = [
        run
        for key in vm.runs.intersection(keys)
        for run in tables.runs.get(key.rpartition("/")[0], ())
        if run.key == key and not run.is_counted
    ]
    for run in runs:
        run.is_counted = True
    return {run.key for run in runs}


def list_start_times(tables: Tables, *, vm: VmRecord, keys: Collection[str]) -> dict[str, int]:
    """Returns the wall-clock time of the start of each of some runs in progress on a VM, by task."""
    on_vm = vm.runs.intersection(keys)
    tasks = {key.rpartition("/")[0] for key in on_vm}
    return {
        run.task: run.started_ms for task in tasks for run in tables.runs.get(task, ()) if run.key in on_vm
    }


def end_run(
    tables: Tables,
    indexes: Indexes,
    *,
    end: RunEnd,
    vm: str,
    boot: int,
    at_ms: int,
    completes_gang: bool = False,
) -> bool:
    """Ends one run if it is in progress on this boot of the VM; returns whether it was."""
    runs = tables.runs.get(end.task, [])
    run = next((item for item in runs if (item.run, item.vm, item.boot) == (end.run, vm, boot)), None)
    if run is None:
        return False
    indexes.count_run(tables=tables, run=run, sign=-1)
    runs.remove(run)
    if not runs:
        del tables.runs[end.task]
    record = tables.vms.get(vm)
    if record is not None:
        record.runs.discard(run.key)
    indexes.runs_to_stop.pop(run.key, None)
    _apply_outcome(tables, indexes, end=end, is_last=not runs, at_ms=at_ms, completes_gang=completes_gang)
    return True


def _update_lapsed(tables: Tables, indexes: Indexes, *, vm: VmRecord, command: EndRuns) -> None:
    if command.is_reported or command.last_end:
        clear_lapsed(indexes, vm=vm)
        return
    ended = {f"{end.task}/{end.run}" for end in command.ends if end.outcome is RunOutcome.LAPSED}
    lapsed = ended.intersection(command.lost_at_work)
    record_lapsed(tables, indexes, vm=vm, keys=lapsed, unconfirmed=command.unconfirmed, at_ms=command.at_ms)


def _start_run(
    tables: Tables, indexes: Indexes, *, start: RunStart, fencing_token: int, started_ms: int
) -> None:
    task = TaskId.parse(start.task)
    workflow = tables.workflows[task.workflow]
    vm = tables.vms[start.vm]
    progress = workflow.progress[task.occurrence][task.step]
    progress.last_run[task.number] = start.run
    progress.pending.discard(task.number)
    run = ActiveRun(
        task=start.task,
        run=start.run,
        vm=start.vm,
        boot=vm.boot,
        fencing_token=fencing_token,
        started_ms=started_ms,
    )
    tables.runs.setdefault(start.task, []).append(run)
    vm.runs.add(run.key)
    indexes.count_run(tables=tables, run=run, sign=1)
    workflow.status = WorkflowStatus.RUNNING


def _apply_outcome(
    tables: Tables, indexes: Indexes, *, end: RunEnd, is_last: bool, at_ms: int, completes_gang: bool
) -> None:
    task = TaskId.parse(end.task)
    workflow = tables.workflows[task.workflow]
    step = workflow.spec.steps[task.step]
    progress = workflow.progress[task.occurrence][task.step]
    if end.checkpoint and not progress.done[task.number]:
        progress.saved[task.number] = end.checkpoint
    if end.outcome is RunOutcome.DONE and not step.long_running:
        _finish_task(tables, indexes, workflow=workflow, task=task, at_ms=at_ms)
        if step.gang and completes_gang:
            _finish_gang(tables, indexes, workflow=workflow, task=task, run=end.run, at_ms=at_ms)
        return
    if progress.done[task.number]:
        return  # a failure of a run that lost to another run of its task does not count
    if end.outcome is RunOutcome.FAILED and not step.long_running:
        count_failure(tables, indexes, workflow=workflow, task=task, at_ms=at_ms)
    if is_last:
        progress.pending.add(task.number)


def _finish_gang(
    tables: Tables, indexes: Indexes, *, workflow: Workflow, task: TaskId, run: int, at_ms: int
) -> None:
    """Finishes the members that took part in a run of a gang: they end together, and some ends may never be reported."""
    progress = workflow.progress[task.occurrence][task.step]
    for number, last_run in enumerate(progress.last_run):
        if last_run == run:
            member = TaskId(task.workflow, task.occurrence, task.step, number)
            _finish_task(tables, indexes, workflow=workflow, task=member, at_ms=at_ms)


def _finish_task(tables: Tables, indexes: Indexes, *, workflow: Workflow, task: TaskId, at_ms: int) -> None:
    progress = workflow.progress[task.occurrence][task.step]
    if progress.done[task.number]:
        return
    progress.done[task.number] = True
    progress.pending.discard(task.number)
    progress.saved.pop(task.number, None)
    progress.open_count -= 1
    indexes.suspects.discard_task(task.name)
    mark_runs_to_stop(tables, indexes, task=task.name)
    if any(step.open_count for step in workflow.progress[task.occurrence]):
        return
    workflow.occurrences_done += 1
    if workflow.occurrences_done == workflow.spec.occurrence_count and not workflow.status.is_final:
        end_workflow(tables, indexes, workflow, status=WorkflowStatus.COMPLETED, at_ms=at_ms)


__all__ = [
    "accept_workflow",
    "add_occurrence",
    "cancel_workflow",
    "delete_workflows",
    "end_run",
    "end_runs",
    "list_start_times",
    "start_runs",
]

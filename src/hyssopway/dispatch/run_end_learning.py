"""Learns the durations of runs and the ratings of VMs from the ends that VMs list."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hyssopway.workflow import RunOutcome, TaskId

if TYPE_CHECKING:
    from hyssopway.scheduling.durations import DurationQuantiles
    from hyssopway.scheduling.vm_rating import VmRatings
    from hyssopway.workflow import RunEnd, Tables

    from .duration_scale import DurationScale


def is_known_task(name: str, *, tables: Tables) -> bool:
    """Returns whether a name that a VM lists is one of a task, as far as its workflow is still known."""
    try:
        task = TaskId.parse(name)
    except ValueError:
        return False
    workflow = tables.workflows.get(task.workflow)
    if workflow is None:
        return True  # its record has been deleted
    steps = workflow.spec.steps
    return 0 <= task.step < len(steps) and 0 <= task.number < steps[task.step].count


def rate_end(
    end: RunEnd,
    *,
    vm_id: str,
    tables: Tables,
    term: int,
    ratings: VmRatings,
    accepted_at: float | None,
    now: float,
) -> None:
    """Records the end of a run as evidence about its VM.

    Args:
        end: The end that the VM listed.
        vm_id: ID of the VM.
        tables: Replicated data.
        term: Term of this leader.
        ratings: Ratings of VMs.
        accepted_at: Local time in seconds at which the VM accepted or listed the run; None if it is unknown.
        now: Local time in seconds.
    """
    if end.outcome not in (RunOutcome.DONE, RunOutcome.FAILED) or not is_known_task(end.task, tables=tables):
        return
    task = TaskId.parse(end.task)
    workflow = tables.workflows.get(task.workflow)
    step = workflow.spec.steps[task.step] if workflow is not None else None
    if step is None or step.long_running or step.fills or step.gang:
        return
    key = f"{end.task}/{end.run}"
    # The start of a run that another leader ordered is not known.
    is_own = any(run.key == key and run.fencing_token == term for run in tables.runs.get(end.task, ()))
    ratings.record_end(
        vm=vm_id,
        task=task,
        run_key=key,
        is_done=end.outcome is RunOutcome.DONE,
        duration_s=now - accepted_at if is_own and accepted_at is not None and accepted_at <= now else None,
        now=now,
    )


def record_duration(
    end: RunEnd,
    *,
    tables: Tables,
    scale: DurationScale,
    quantiles: DurationQuantiles | None,
    duration_s: float,
) -> None:
    """Records how long a run took that ended as done, compared with the estimate of its step.

    Args:
        end: The end that the VM listed.
        tables: Replicated data.
        scale: Learns the ratio of actual to declared durations.
        quantiles: Learns the distribution of that ratio; None if the run is no sample for it.
        duration_s: Time since the VM accepted or listed the run, in seconds.
    """
    if not is_known_task(end.task, tables=tables):
        return
    task = TaskId.parse(end.task)
    workflow = tables.workflows.get(task.workflow)
    if workflow is None:
        return  # its record has been deleted
    step = workflow.spec.steps[task.step]
    if duration_s <= 0 or not step.estimate_ms or step.long_running:
        return
    scale.add(workflow.queue, declared_ms=step.estimate_ms, actual_ms=duration_s * 1000)
    if quantiles is not None and not step.fills:
        quantiles.add(workflow.queue, declared_ms=step.estimate_ms, actual_ms=duration_s * 1000)


__all__ = ["is_known_task", "rate_end", "record_duration"]

"""Reclaims runs of teams that exceed an upper limit after operators lowered it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hyssopway.control.command import ReclaimRun
from hyssopway.control.record import ReclaimAction

if TYPE_CHECKING:
    from collections.abc import Iterator

    from hyssopway.control.record import Job
    from hyssopway.document import Resources, Team

    from .planner import Planner


ENDING_ACTIONS = (ReclaimAction.CHECKPOINT, ReclaimAction.STOP)


def reclaim_excess(planner: Planner) -> list[ReclaimRun]:
    """Returns commands that reclaim the youngest runs of teams above their limit.

    Runs that are already ending count as ended, so each run is reclaimed once.
    """
    document = planner.state.document()
    commands: list[ReclaimRun] = []
    for team in document.teams if document else ():
        usage = planner.state.indexes.usage.get(team.name)
        if usage is None or _is_within(team, tasks=usage.tasks, resources=usage.resources):
            continue
        tasks, resources = usage.tasks, usage.resources
        jobs = list(_youngest_first(planner, team=team.name))
        for job in jobs:
            if job.cancelling or (job.run and job.run.reclaim in ENDING_ACTIONS):
                tasks, resources = tasks - 1, resources - job.spec.resources
        for job in jobs:
            if _is_within(team, tasks=tasks, resources=resources):
                break
            if job.run is None or job.cancelling or job.run.reclaim in ENDING_ACTIONS:
                continue
            tasks, resources = tasks - 1, resources - job.spec.resources
            commands.append(_to_command(job, epoch=job.run.epoch, team=team))
    return commands


def _is_within(team: Team, *, tasks: int, resources: Resources) -> bool:
    return tasks <= team.max_running and resources.fits_in(team.limit)


def _youngest_first(planner: Planner, *, team: str) -> Iterator[Job]:
    for (_, holder), held in planner.view.held.items():
        if holder == team:
            for job_id in reversed(held):
                job = planner.state.tables.jobs.get(job_id)
                if job is not None and job.run is not None:
                    yield job


def _to_command(job: Job, *, epoch: int, team: Team) -> ReclaimRun:
    action = ReclaimAction.CHECKPOINT if job.spec.checkpointable else ReclaimAction.STOP
    reason = f"team {team.name} is above its upper limit of {team.max_running} tasks and {team.limit.cores:g} cores"
    return ReclaimRun(job_id=job.job_id, epoch=epoch, action=action, reason=reason)


__all__ = ["reclaim_excess"]

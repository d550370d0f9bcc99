"""Views of the agreed data that are kept up to date instead of being searched."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .task_id import TaskId

if TYPE_CHECKING:
    from .active_run import ActiveRun
    from .fleet_document import FleetDocument
    from .queue import Queue
    from .step import Step
    from .tables import Tables
    from .team_policy import TeamPolicy
    from .workflow import Workflow


class Usage:
    """What a team, or a VM, has running.

    Attributes:
        cpu_millis: Thousandths of a core.
        memory_mb: Memory.
        accelerators: Accelerators.
        serving: Runs that must keep a target of their response times.
        filling: Runs that use only the processor that others leave.
    """

    __slots__ = ("accelerators", "best_effort", "cpu_millis", "latency_bound", "memory_mb")

    def __init__(self) -> None:
        self.cpu_millis = 0
        self.memory_mb = 0
        self.accelerators = 0
        self.latency_bound = 0
        self.best_effort = 0

    def add(self, step: Step, *, sign: int) -> None:
        """Counts a run of a step, or takes it out with a negative sign."""
        self.cpu_millis += sign * step.cpu_millis
        self.memory_mb += sign * step.memory_mb
        self.accelerators += sign * step.accelerators
        if step.fills:
            self.best_effort += sign
        elif step.target_ms:
            self.latency_bound += sign


class Indexes:
    """Derived views.

    Attributes:
        open_workflows: Identities of workflows that have not ended, in the order of acceptance.
        team_use: What each team has running.
        vm_use: What each VM has running; the processor of tasks that fill does not count.
        unwanted: Keys of runs in progress that are to be stopped, with their VM.
        queues: Queues by name.
        queues_by_host: Queues by host name, longest path prefix first.
        teams: Teams by name.
        team_by_key: Team of each key.
    """

    __slots__ = (
        "open_workflows",
        "queues",
        "queues_by_host",
        "runs_to_stop",
        "team_by_key",
        "team_usage",
        "teams",
        "vm_usage",
    )

    def __init__(self, tables: Tables) -> None:
        self.open_workflows: dict[str, None] = {
            key: None for key, workflow in tables.workflows.items() if not workflow.status.is_final
        }
        self.team_usage: dict[str, Usage] = {}
        self.vm_usage: dict[str, Usage] = {}
        self.runs_to_stop: dict[str, str] = {}
        self.queues: dict[str, Queue] = {}
        self.queues_by_host: dict[str, list[Queue]] = {}
        self.teams: dict[str, TeamPolicy] = {}
        self.team_by_key: dict[str, str] = {}
        if tables.document is not None:
            self.index_document(tables.document)
        for runs in tables.runs.values():
            for run in runs:
                self.count_run(tables=tables, run=run, sign=1)
                if should_stop(tables, run):
                    self.runs_to_stop[run.key] = run.vm

    def index_document(self, document: FleetDocument) -> None:
        """Indexes a new configuration."""
        self.queues = {queue.name: queue for queue in document.queues}
        self.queues_by_host = {}
        for queue in sorted(document.queues, key=lambda queue: -len(queue.path_prefix)):
            self.queues_by_host.setdefault(queue.host, []).append(queue)
        self.teams = {team.name: team for team in document.teams}
        self.team_by_key = {key: team.name for team in document.teams for key in team.keys}

    def count_run(self, *, tables: Tables, run: ActiveRun, sign: int) -> None:
        """Counts a run for its team and its VM."""
        task = TaskId.parse(run.task)
        workflow = tables.workflows[task.workflow]
        step = workflow.spec.steps[task.step]
        self.team_usage.setdefault(workflow.team, Usage()).add(step, sign=sign)
        vm_usage = self.vm_usage.setdefault(run.vm, Usage())
        vm_usage.add(step, sign=sign)
        if step.fills:
            vm_usage.cpu_millis -= sign * step.cpu_millis

    def fits_limit(self, *, workflow: Workflow, step: Step) -> bool:
        """Tells whether one more run of a step stays within the upper limit of its team."""
        team = self.teams.get(workflow.team)
        if team is None:
            return True
        use = self.team_usage.get(workflow.team)
        if use is None:
            use = Usage()
        limit = team.upper_limit
        return (
            (not limit.cpu_millis or use.cpu_millis + step.cpu_millis <= limit.cpu_millis)
            and (not limit.memory_mb or use.memory_mb + step.memory_mb <= limit.memory_mb)
            and (not limit.accelerators or use.accelerators + step.accelerators <= limit.accelerators)
        )

    def find_queue(self, *, host: str, path: str) -> Queue | None:
        """Returns the queue with the longest prefix that a path begins with."""
        for queue in self.queues_by_host.get(host, ()):
            if path.startswith(queue.path_prefix):
                return queue
        return None


def should_stop(tables: Tables, run: ActiveRun) -> bool:
    """Tells whether a run in progress serves nothing any more."""
    task = TaskId.parse(run.task)
    workflow = tables.workflows[task.workflow]
    return workflow.status.is_final or workflow.progress[task.occurrence][task.step].done[task.number]


__all__ = ["Indexes", "Usage", "should_stop"]

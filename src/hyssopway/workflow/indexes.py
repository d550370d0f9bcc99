"""Indexes over the replicated tables, updated with each command to avoid searches."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from .crash_suspects import CrashSuspects
from .queue import Queue, make_unlocated_queue
from .queue_id import QueueId
from .state_version import QUEUE_IDS_VERSION
from .task_id import TaskId

if TYPE_CHECKING:
    from .active_run import ActiveRun
    from .capacity import Capacity
    from .step import Step
    from .tables import Tables
    from .team_policy import TeamPolicy
    from .vm_record import VmRecord
    from .workflow import Workflow


class Usage:
    """Resources and runs in use by a team or on a VM.

    Attributes:
        cpu_millis: Thousandths of a core.
        memory_mb: Memory in megabytes.
        accelerators: Number of accelerators.
        long_running: Number of long-running runs.
        latency_bound_images: Number of runs that have a response-time target, by image.
        best_effort_images: Number of runs that use only spare CPU, by image.
        runs: Number of runs.
    """

    __slots__ = (
        "accelerators",
        "best_effort_images",
        "cpu_millis",
        "latency_bound_images",
        "long_running",
        "memory_mb",
        "runs",
    )

    def __init__(self) -> None:
        self.cpu_millis = 0
        self.memory_mb = 0
        self.accelerators = 0
        self.long_running = 0
        self.latency_bound_images: Counter[str] = Counter()
        self.best_effort_images: Counter[str] = Counter()
        self.runs = 0

    @property
    def latency_bound(self) -> int:
        """Number of runs that have a response-time target."""
        return self.latency_bound_images.total()

    @property
    def best_effort(self) -> int:
        """Number of runs that use only spare CPU."""
        return self.best_effort_images.total()

    def fits(self, capacity: Capacity) -> bool:
        """Returns whether the resources are within a capacity."""
        return (
            self.cpu_millis <= capacity.cpu_millis
            and self.memory_mb <= capacity.memory_mb
            and self.accelerators <= capacity.accelerators
        )

    def add(self, step: Step, *, sign: int) -> None:
        """Adds a run of a step, or removes it if the sign is -1."""
        self.runs += sign
        self.cpu_millis += sign * step.cpu_millis
        self.memory_mb += sign * step.memory_mb
        self.accelerators += sign * step.accelerators
        if step.long_running:
            self.long_running += sign
        if step.fills:
            _add_image(self.best_effort_images, step.image, sign=sign)
        elif step.target_ms:
            _add_image(self.latency_bound_images, step.image, sign=sign)


def _add_image(images: Counter[str], image: str, *, sign: int) -> None:
    images[image] += sign
    if not images[image]:
        del images[image]


class Indexes:
    """Indexes that are derived from the tables and in no snapshot.

    Attributes:
        open_workflows: IDs of workflows that have not ended, in order of acceptance.
        team_usage: Resources in use by each team.
        pool_usage: Resources in use by pool and team, without the CPU of best-effort tasks.
        vm_usage: Resources in use on each VM, without the CPU of best-effort tasks.
        runs_to_stop: VM by the key of each run in progress that is to be stopped.
        queues: Known queues by ID, also those that were removed from the configuration, as they were last.
        queue_id_by_name: IDs of the configured queues by name.
        queues_by_host: Configured queues by host name, longest path prefix first.
        teams: Known teams by ID, also those that were removed from the configuration, as they were last.
        team_by_key: Team ID by API key, of the configured teams.
        heirs: ID of the configured team that now has a key of a removed one, by the ID of the removed one.
        suspects: Open tasks that may have crashed the VMs that ran them.
        unguarded_pools: Pools whose VMs do not reject tasks that exceed their free capacity.
    """

    __slots__ = (
        "heirs",
        "open_workflows",
        "pool_usage",
        "queue_id_by_name",
        "queues",
        "queues_by_host",
        "runs_to_stop",
        "suspects",
        "team_by_key",
        "team_usage",
        "teams",
        "unguarded_pools",
        "vm_usage",
    )

    def __init__(self, tables: Tables) -> None:
        self.open_workflows: dict[str, None] = {
            key: None for key, workflow in tables.workflows.items() if not workflow.status.is_final
        }
        self.team_usage: dict[str, Usage] = {}
        self.pool_usage: dict[str, dict[str, Usage]] = {}
        self.vm_usage: dict[str, Usage] = {}
        self.runs_to_stop: dict[str, str] = {}
        self.queues: dict[QueueId, Queue] = {}
        self.queue_id_by_name: dict[str, QueueId] = {}
        self.queues_by_host: dict[str, list[Queue]] = {}
        self.teams: dict[str, TeamPolicy] = {}
        self.unguarded_pools: set[str] = set()
        self.team_by_key: dict[str, str] = {}
        self.heirs: dict[str, str] = {}
        self.suspects = CrashSuspects(tables)
        self.index_configuration(tables)
        for runs in tables.runs.values():
            for run in runs:
                self.count_run(tables=tables, run=run, sign=1)
                if should_stop(tables, run):
                    self.runs_to_stop[run.key] = run.vm

    def index_configuration(self, tables: Tables) -> None:
        """Indexes a new configuration, and what is kept of the earlier ones."""
        document = tables.document
        configured = document.queues if document is not None else ()
        has_ids = tables.version >= QUEUE_IDS_VERSION
        self.queue_id_by_name = {
            queue.name: queue.queue_id if has_ids else QueueId(queue.name) for queue in configured
        }
        self.queues = dict(tables.former_queues) if has_ids else _list_former_queues(tables)
        self.queues.update({self.queue_id_by_name[queue.name]: queue for queue in configured})
        self.queues_by_host = {}
        for queue in sorted(configured, key=lambda queue: -len(queue.path_prefix)):
            self.queues_by_host.setdefault(queue.host, []).append(queue)
        self.teams = dict(tables.former_teams)
        self.team_by_key = {}
        for team in document.teams if document is not None else ():
            team_id = tables.team_ids.get(team.name, team.name)
            self.teams[team_id] = team
            self.team_by_key.update(dict.fromkeys(team.keys, team_id))
        self.heirs = {
            former_id: self.team_by_key[key]
            for former_id, former in tables.former_teams.items()
            for key in former.keys
            if key in self.team_by_key
        }
        pools = document.pools if document is not None else ()
        self.unguarded_pools = {pool.name for pool in pools if not pool.guards_capacity}

    def count_run(self, *, tables: Tables, run: ActiveRun, sign: int) -> None:
        """Adds a run to the usage of its team and its VM, or removes it if the sign is -1."""
        task = TaskId.parse(run.task)
        workflow = tables.workflows[task.workflow]
        step = workflow.spec.steps[task.step]
        self.team_usage.setdefault(workflow.team, Usage()).add(step, sign=sign)
        vm_usage = self.vm_usage.setdefault(run.vm, Usage())
        vm_usage.add(step, sign=sign)
        if step.fills:
            vm_usage.cpu_millis -= sign * step.cpu_millis
        vm = tables.vms.get(run.vm)
        if vm is not None:
            self.count_in_pool(vm.pool, team=workflow.team, step=step, sign=sign)

    def count_in_pool(self, pool: str, *, team: str, step: Step, sign: int) -> None:
        """Adds a run to the usage of its team in a pool, or removes it if the sign is -1."""
        teams = self.pool_usage.setdefault(pool, {})
        usage = teams.setdefault(team, Usage())
        usage.add(step, sign=sign)
        if step.fills:
            usage.cpu_millis -= sign * step.cpu_millis
        if not usage.runs:
            del teams[team]

    def move_to_pool(self, pool: str, *, tables: Tables, vm: VmRecord) -> None:
        """Moves the usage of a VM's runs to the pool that the VM is about to belong to."""
        for key in vm.runs:
            task = TaskId.parse(key.rpartition("/")[0])
            workflow = tables.workflows[task.workflow]
            step = workflow.spec.steps[task.step]
            self.count_in_pool(vm.pool, team=workflow.team, step=step, sign=-1)
            self.count_in_pool(pool, team=workflow.team, step=step, sign=1)

    def fits_limit(self, *, workflow: Workflow, step: Step, runs: int = 1) -> bool:
        """Returns whether more runs of a step stay within the upper limit of its team."""
        team = self.teams.get(workflow.team)
        if team is None:
            return True
        usage = self.team_usage.get(workflow.team)
        if usage is None:
            usage = Usage()
        limit = team.upper_limit
        return (
            (not limit.cpu_millis or usage.cpu_millis + runs * step.cpu_millis <= limit.cpu_millis)
            and (not limit.memory_mb or usage.memory_mb + runs * step.memory_mb <= limit.memory_mb)
            and (
                not limit.accelerators or usage.accelerators + runs * step.accelerators <= limit.accelerators
            )
        )

    def fits_vm(self, *, vm: VmRecord, step: Step, runs: int = 1) -> bool:
        """Returns whether more runs of a step fit the capacity of a VM that does not check this itself."""
        if vm.pool not in self.unguarded_pools:
            return True
        usage = self.vm_usage.get(vm.vm_id, Usage())
        cpu_millis = 0 if step.fills else step.cpu_millis
        return (
            usage.cpu_millis + runs * cpu_millis <= vm.capacity.cpu_millis
            and usage.memory_mb + runs * step.memory_mb <= vm.capacity.memory_mb
            and usage.accelerators + runs * step.accelerators <= vm.capacity.accelerators
        )

    def owns(self, workflow: Workflow, *, team_id: str) -> bool:
        """Returns whether a workflow belongs to a team: it was submitted with a key of it, or of one that has become part of it.

        A workflow that was submitted without a key belongs to nobody, and every team may use it.
        """
        return workflow.team in ("", team_id) or self.heirs.get(workflow.team) == team_id

    def team_name(self, team_id: str) -> str:
        """Returns the name that a team has, or had last; its ID if it was never configured."""
        team = self.teams.get(team_id)
        return team.name if team is not None else team_id

    def id_of(self, queue: Queue) -> QueueId:
        """Returns the ID under which workflows of a configured queue are kept."""
        return self.queue_id_by_name[queue.name]

    def queue_of(self, workflow: Workflow) -> Queue | None:
        """Returns the queue of a workflow as it is configured, or was last; None if it was never configured."""
        return self.queues.get(workflow.queue)

    def pool_of(self, workflow: Workflow) -> str:
        """Returns the pool that the queue of a workflow leads to; empty if the queue was never configured."""
        queue = self.queues.get(workflow.queue)
        return queue.pool if queue is not None else ""

    def max_attempts(self, workflow: Workflow) -> int:
        """Returns the number of failed runs of one task after which a workflow fails."""
        queue = self.queues.get(workflow.queue)
        return queue.max_attempts if queue is not None else 1

    def find_queue(self, *, host: str, path: str) -> Queue | None:
        """Returns the queue with the longest path prefix that matches, or None."""
        for queue in self.queues_by_host.get(host, ()):
            if path.startswith(queue.path_prefix):
                return queue
        return None


def _list_former_queues(tables: Tables) -> dict[QueueId, Queue]:
    """Returns the queues by name of a state before `QUEUE_IDS_VERSION`, which keeps little of removed ones."""
    return {
        QueueId(name): make_unlocated_queue(name, pool=pool, max_attempts=tables.queue_attempts.get(name, 1))
        for name, pool in tables.queue_pools.items()
    }


def should_stop(tables: Tables, run: ActiveRun) -> bool:
    """Returns whether a run in progress is no longer needed: its task is done or its workflow has ended."""
    task = TaskId.parse(run.task)
    workflow = tables.workflows[task.workflow]
    return workflow.status.is_final or workflow.progress[task.occurrence][task.step].done[task.number]


__all__ = ["Indexes", "Usage", "should_stop"]

"""Messages between workers and their home entry, sent as JSON over HTTP."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Annotated

from pydantic import Field

from hyssopway.control.record import RunOutcome
from hyssopway.document import Resources


@dataclass(frozen=True, slots=True, kw_only=True)
class RunningTask:
    """Task that is running on a worker.

    Attributes:
        job_id: ID of the job.
        epoch: Number of the run.
        usage: Latest measured usage.
        ran_s: Seconds since the task started.
    """

    job_id: str
    epoch: int
    usage: Resources = field(default_factory=Resources)
    ran_s: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class EndedRun:
    """Run that ended on a worker; reported again until it is acknowledged.

    Attributes:
        job_id: ID of the job.
        epoch: Number of the run.
        outcome: How the run ended.
        detail: Message for the submitter.
        checkpoint: Checkpoint from which the next run continues.
    """

    job_id: str
    epoch: int
    outcome: RunOutcome
    detail: str = ""
    checkpoint: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class SyncRequest:
    """Report of a worker that asks its home for orders.

    Attributes:
        zone: Availability zone of the worker's VM.
        rack: Rack of the VM.
        pool: Pool in which the VM starts.
        capacity: Capacity of the VM.
        boot_id: Identity of the worker process.
        running: Running tasks.
        ended: Ended runs that are not acknowledged yet.
        number: Sequence number of the sync within the process; a home drops a request that a later one overtook.
        seen_index: Largest `state_index` of the replies so far; a home whose state is older sends no orders.
        wait_s: Seconds for which the home may hold the request while it has no orders (long polling); 0 to
            reply at once.
        requests: Requests in progress on the endpoints of the VM after these left because of `leave`; None
            before they left, and from a worker that does not count them.
    """

    zone: str
    rack: str
    pool: str
    capacity: Resources
    boot_id: str
    running: list[RunningTask] = field(default_factory=list)
    ended: list[EndedRun] = field(default_factory=list)
    number: int = 0
    seen_index: int = 0
    wait_s: float = 0.0
    requests: Annotated[int, Field(ge=0)] | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class StartOrder:
    """Order to start a task.

    Attributes:
        job_id: ID of the job.
        epoch: Number of the run.
        task_kind: Kind of task.
        arguments: Arguments of the task.
        resources: Resources that the task may use.
        run_s: Declared run time in seconds.
        checkpoint: Checkpoint from which the task continues; empty for a first run.
        start_within_s: Seconds after the worker sent its request at which the order expires.
    """

    job_id: str
    epoch: int
    task_kind: str
    arguments: str
    resources: Resources
    run_s: float
    checkpoint: str
    start_within_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class SyncReply:
    """Orders for a worker.

    Attributes:
        lease_s: Seconds after the worker sent its request for which tasks may run; 0 ends the lease.
        start: Tasks to start.
        stop: Jobs whose task is to be stopped.
        checkpoint: Jobs whose task is to be checkpointed and ended.
        throttle: Jobs whose task is to be slowed down.
        acknowledged: Jobs whose ended run is recorded in the replicated state.
        leave: Whether the endpoints of the VM are to leave; otherwise they announce themselves.
        state_index: Index of the replicated state from which the orders were derived.
    """

    lease_s: float
    start: list[StartOrder] = field(default_factory=list)
    stop: list[str] = field(default_factory=list)
    checkpoint: list[str] = field(default_factory=list)
    throttle: list[str] = field(default_factory=list)
    acknowledged: list[str] = field(default_factory=list)
    leave: bool = False
    state_index: int = 0


__all__ = ["EndedRun", "RunningTask", "StartOrder", "SyncReply", "SyncRequest"]

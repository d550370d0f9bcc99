"""Messages between workers and their home entry, as JSON over HTTP."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Annotated

from pydantic import Field

from hyssopway.control.record import RunOutcome
from hyssopway.document import Resources


@dataclass(frozen=True, slots=True, kw_only=True)
class RunningTask:
    """A task that a worker runs.

    Attributes:
        job_id: Job.
        epoch: Number of the run.
        usage: What it uses; lags behind.
        ran_s: Seconds since its start.
    """

    job_id: str
    epoch: int
    usage: Resources = field(default_factory=Resources)
    ran_s: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class EndedRun:
    """A run that ended on a worker; repeated until acknowledged.

    Attributes:
        job_id: Job.
        epoch: Number of the run.
        outcome: How it ended.
        detail: Message for the submitter.
        checkpoint: Where the next run continues.
    """

    job_id: str
    epoch: int
    outcome: RunOutcome
    detail: str = ""
    checkpoint: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class SyncRequest:
    """A worker reports and asks for orders.

    Attributes:
        zone: Availability zone of its VM.
        rack: Rack of its VM.
        pool: Pool that its VM starts in.
        capacity: What its VM has.
        boot_id: Identity of the worker process.
        running: Tasks that it runs.
        ended: Runs that ended and are not acknowledged.
        number: Counts the syncs of this process; a home drops a request that a later one overtook.
        wait_s: How long the home may hold the request while it has nothing to order; 0 answers at once.
        seen_index: Largest `state_index` of the replies; a home behind it knows too little to order.
        requests: Requests in progress on the endpoints of its VM, once these have left on the order of
            `leave`; None before, and from a VM that does not count them.
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
    """A task that the worker starts.

    Attributes:
        job_id: Job.
        epoch: Number of the run.
        task_kind: Kind of task.
        arguments: Arguments of the task.
        resources: What it may use.
        run_s: Declared run time.
        checkpoint: Where it continues.
        start_within_s: The order is void this long after the worker sent its request.
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
        lease_s: Tasks may run this long after the worker sent its request; 0 ends the lease.
        start: Tasks to start.
        stop: Jobs whose task is to be stopped.
        checkpoint: Jobs whose task is to be checkpointed and ended.
        throttle: Jobs whose task is to be slowed down.
        acknowledged: Jobs whose ended run is recorded.
        leave: Whether the endpoints of its VM are to leave; otherwise they announce themselves.
        state_index: Index of the agreed state that the orders come from.
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

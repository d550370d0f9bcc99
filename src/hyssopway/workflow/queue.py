"""A queue of workflows."""

from __future__ import annotations

from dataclasses import dataclass

from .advisor_policy import AdvisorPolicy
from .queue_id import QueueId, make_queue_id


@dataclass(frozen=True, slots=True, kw_only=True)
class Queue:
    """A queue that submitters send workflows to, as configured by operators.

    Attributes:
        name: Label that operators give the queue; it may change, and may have belonged to another queue.
        host: Host name that requests for the queue are sent to.
        path_prefix: Prefix of the request paths of the queue.
        pool: Pool whose VMs run its tasks.
        priority: Priority among queues; 0 is the highest.
        max_attempts: Number of failed runs of one task after which the workflow fails.
        open_to_all: Whether requests need no API key.
        timeout_ms: Maximum time until a request is answered.
        target_latency_ms: Time in addition to the work itself within which a workflow should complete.
        stretch: Factor on the critical path of a workflow within which it should complete.
        advisor: Policy for asking the advisor before a start; None if the queue has no advisor.
    """

    name: str
    host: str
    path_prefix: str
    pool: str
    priority: int = 0
    max_attempts: int = 1
    open_to_all: bool = False
    timeout_ms: int = 3000
    target_latency_ms: int = 0
    stretch: float = 1.0
    advisor: AdvisorPolicy | None = None

    @property
    def queue_id(self) -> QueueId:
        """ID of the queue, which only its host and path prefix determine."""
        return make_queue_id(host=self.host, path_prefix=self.path_prefix)


def make_unlocated_queue(name: str, *, pool: str, max_attempts: int) -> Queue:
    """Returns a removed queue of which a state before `QUEUE_IDS_VERSION` has only the pool and the attempts."""
    return Queue(name=name, host="", path_prefix="", pool=pool, max_attempts=max_attempts, stretch=0.0)


__all__ = ["Queue", "make_unlocated_queue"]

"""A queue of workflows."""

from __future__ import annotations

from dataclasses import dataclass

from .advisor_policy import AdvisorPolicy


@dataclass(frozen=True, slots=True, kw_only=True)
class Queue:
    """Where submitters hand in workflows.

    Attributes:
        name: Name of the queue.
        host: Host name of its address.
        path_prefix: Beginning of its paths.
        pool: Pool whose VMs run its tasks.
        priority: Order among queues; 0 comes first.
        max_attempts: Failed runs of a task after which the workflow fails.
        open_to_all: Whether no key is needed.
        timeout_ms: Longest wait for an answer.
        target_latency_ms: Time beside the work itself within which a workflow should end.
        stretch: Factor on the longest chain of work within which a workflow should end.
        advisor: How tasks get leave to start on a VM; None when they need none.
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


__all__ = ["Queue"]

"""What a job asks for."""

from __future__ import annotations

from dataclasses import dataclass

from hyssopway.document import Resources


@dataclass(slots=True, kw_only=True)
class JobSpec:
    """A task and what it needs, as declared by the submitter.

    Attributes:
        task_kind: Kind of task; estimates are kept for each kind.
        pool: Pool that runs it.
        resources: Declared need.
        run_s: Declared run time.
        urgent: Whether it starts before all other work.
        arguments: Passed to the worker unchanged.
        checkpointable: Whether a run may continue from a checkpoint.
    """

    task_kind: str
    pool: str
    resources: Resources
    run_s: float = 60.0
    urgent: bool = False
    arguments: str = ""
    checkpointable: bool = False


__all__ = ["JobSpec"]

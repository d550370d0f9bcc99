"""The specification of a job."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Annotated

from pydantic import Field

from hyssopway.document import Resources

# Every job is replicated to all daemons and stored in snapshots, so larger input has to be stored elsewhere.
MAX_ARGUMENTS_CHARACTERS = 65_536
MAX_NAME_CHARACTERS = 200

Name = Annotated[str, Field(min_length=1, max_length=MAX_NAME_CHARACTERS)]


@dataclass(slots=True, kw_only=True)
class JobSpec:
    """A task and its requirements, as declared by the submitter.

    Attributes:
        task_kind: Kind of task; estimates are kept per kind.
        pool: Pool whose VMs run it.
        resources: Declared resources.
        run_s: Declared run time in seconds.
        urgent: Whether it starts before all jobs that are not urgent.
        arguments: Arguments, passed to the worker unchanged.
        checkpointable: Whether a run can continue from a checkpoint.
    """

    task_kind: Name
    pool: Name
    resources: Resources
    run_s: Annotated[float, Field(ge=0, allow_inf_nan=False)] = 60.0
    urgent: bool = False
    arguments: Annotated[str, Field(max_length=MAX_ARGUMENTS_CHARACTERS)] = ""
    checkpointable: bool = False


__all__ = ["JobSpec"]

"""Policy for jobs."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Annotated

from pydantic import Field


@dataclass(frozen=True, slots=True, kw_only=True)
class JobPolicy:
    """Policy for all jobs of an environment.

    Attributes:
        cut_off_run_s: Seconds for which a partitioned zone keeps renewing task leases.
        max_tries: Number of runs after which a job ends as failed.
        backoff_s: Seconds to wait before the second run; doubles with each further run.
        estimate_margin: Fraction that is added to the estimated usage of a kind of job.
    """

    cut_off_run_s: Annotated[float, Field(ge=0, le=86_400)] = 120.0
    max_tries: Annotated[int, Field(ge=1, le=100)] = 4
    backoff_s: Annotated[float, Field(ge=0, le=3600)] = 1.0
    estimate_margin: Annotated[float, Field(ge=0, le=2)] = 0.15


__all__ = ["JobPolicy"]

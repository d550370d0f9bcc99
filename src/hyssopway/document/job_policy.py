"""Rules for jobs."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Annotated

from pydantic import Field


@dataclass(frozen=True, slots=True, kw_only=True)
class JobPolicy:
    """Rules that hold for all jobs of an environment.

    Attributes:
        cut_off_run_s: How long a zone that is cut off renews task leases.
        max_tries: Runs of one job before it ends as failed.
        backoff_s: Wait before the second run; doubles with each further run.
        estimate_margin: Part added to the estimated use of a kind of job.
    """

    cut_off_run_s: Annotated[float, Field(ge=0, le=86_400)] = 120.0
    max_tries: Annotated[int, Field(ge=1, le=100)] = 4
    backoff_s: Annotated[float, Field(ge=0, le=3600)] = 1.0
    estimate_margin: Annotated[float, Field(ge=0, le=2)] = 0.15


__all__ = ["JobPolicy"]

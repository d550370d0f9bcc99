"""State of the work of a failed request."""

from __future__ import annotations

from enum import StrEnum


class WorkState(StrEnum):
    """Whether the requested work has run."""

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    RAN = "ran"


__all__ = ["WorkState"]

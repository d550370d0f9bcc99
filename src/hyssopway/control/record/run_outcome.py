"""How a run ended."""

from __future__ import annotations

from enum import StrEnum


class RunOutcome(StrEnum):
    """How a run ended."""

    DONE = "done"
    FAILED = "failed"
    LOST = "lost"
    STOPPED = "stopped"
    CHECKPOINTED = "checkpointed"


__all__ = ["RunOutcome"]

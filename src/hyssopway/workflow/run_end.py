"""The end of a run, as reported or concluded."""

from __future__ import annotations

from dataclasses import dataclass

from .run_outcome import RunOutcome


@dataclass(frozen=True, slots=True, kw_only=True)
class RunEnd:
    """End of one run.

    Attributes:
        task: Text form of the task's identity.
        run: Number of the run.
        outcome: How it ended.
        checkpoint: Last checkpoint; empty for none.
    """

    task: str
    run: int
    outcome: RunOutcome
    checkpoint: str = ""


__all__ = ["RunEnd"]

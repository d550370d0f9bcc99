"""The end of a run, as reported by its VM or inferred by the leader."""

from __future__ import annotations

from dataclasses import dataclass

from .run_outcome import RunOutcome


@dataclass(frozen=True, slots=True, kw_only=True)
class RunEnd:
    """End of one run.

    Attributes:
        task: ID of the task in text form.
        run: Number of the run within the task.
        outcome: How the run ended.
        checkpoint: Last checkpoint; empty if there is none.
    """

    task: str
    run: int
    outcome: RunOutcome
    checkpoint: str = ""


__all__ = ["RunEnd"]

"""Ends of runs that a leader concludes without a report of the VM."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hyssopway.workflow import RunEnd

if TYPE_CHECKING:
    from hyssopway.workflow import ActiveRun, RunOutcome, VmRecord


def make_run_end(run: ActiveRun, outcome: RunOutcome) -> RunEnd:
    """Returns the end of one run."""
    return RunEnd(task=run.task, run=run.run, outcome=outcome)


def make_run_ends(record: VmRecord, outcome: RunOutcome) -> list[RunEnd]:
    """Returns the ends of all runs that are agreed to be on a VM."""
    ends = []
    for key in sorted(record.runs):
        task, _, number = key.rpartition("/")
        ends.append(RunEnd(task=task, run=int(number), outcome=outcome))
    return ends


__all__ = ["make_run_end", "make_run_ends"]

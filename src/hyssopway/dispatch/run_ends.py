"""Builds the ends of runs whose outcome the leader infers without a report from the VM."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hyssopway.workflow import RunEnd

if TYPE_CHECKING:
    from collections.abc import Collection

    from hyssopway.workflow import ActiveRun, RunOutcome


def make_run_end(run: ActiveRun, outcome: RunOutcome) -> RunEnd:
    """Returns the end of one run with the given outcome."""
    return RunEnd(task=run.task, run=run.run, outcome=outcome)


def make_run_ends(keys: Collection[str], outcome: RunOutcome) -> list[RunEnd]:
    """Returns the ends of runs, given by their keys, with the same outcome."""
    ends = []
    for key in sorted(keys):
        task, _, number = key.rpartition("/")
        ends.append(RunEnd(task=task, run=int(number), outcome=outcome))
    return ends


__all__ = ["make_run_end", "make_run_ends"]

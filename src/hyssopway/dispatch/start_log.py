"""Log lines of the starts of a round."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hyssopway.event import Event, log_event
from hyssopway.scheduling.copies import StepKey
from hyssopway.workflow import TaskId

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from hyssopway.scheduling.copies import Copies
    from hyssopway.workflow import RunStart, SkippedStart

    from .vm_link import VmLink

# Log readers truncate lines that are much longer than 8 KB.
MAX_RUNS_PER_LOG_LINE = 50


def log_starts(starts: list[RunStart], *, links: Mapping[str, VmLink], now: float) -> None:
    """Logs the starts of a round with the times since their VMs last answered.

    Args:
        starts: Committed starts.
        links: Links to VMs by VM ID.
        now: Local time.
    """
    for offset in range(0, len(starts), MAX_RUNS_PER_LOG_LINE):
        batch = starts[offset : offset + MAX_RUNS_PER_LOG_LINE]
        log_event(
            Event.RUNS_ORDERED,
            count=len(batch),
            runs={f"{start.task}/{start.run}": start.vm for start in batch},
            answer_age_ms=_answer_ages_ms(batch, links=links, now=now),
        )


def log_skipped_starts(skipped: Sequence[SkippedStart]) -> None:
    """Logs the starts of one command that were skipped as it was applied, with the rules that they broke."""
    log_event(
        Event.STARTS_SKIPPED,
        count=len(skipped),
        runs={
            f"{item.start.task}/{item.start.run}": {"vm": item.start.vm, "rule": item.rule.value}
            for item in skipped[:MAX_RUNS_PER_LOG_LINE]
        },
    )


def log_copies(starts: list[RunStart], *, copies: Copies, reason: str, reasons: Mapping[TaskId, str]) -> int:
    """Logs the starts that are copies of runs in progress, and returns their number.

    Args:
        starts: Committed starts.
        copies: Tasks that were to get a copy, by step.
        reason: Why the tasks were to get a copy.
        reasons: Details of the reason by task ID; only for some tasks.
    """
    copied: dict[str, dict[str, str]] = {}
    for start in starts:
        task = TaskId.parse(start.task)
        if task.number in copies.get(StepKey(task.workflow, task.occurrence, task.step), ()):
            copied[f"{start.task}/{start.run}"] = {"vm": start.vm, "why": reasons.get(task, "")}
    if copied:
        runs = dict(list(copied.items())[:MAX_RUNS_PER_LOG_LINE])
        log_event(Event.COPIES_ORDERED, count=len(copied), reason=reason, runs=runs)
    return len(copied)


def _answer_ages_ms(starts: list[RunStart], *, links: Mapping[str, VmLink], now: float) -> dict[str, int]:
    involved = {start.vm: links[start.vm] for start in starts if start.vm in links}
    return {vm: round((now - link.answered_at) * 1000) for vm, link in involved.items()}


__all__ = ["log_copies", "log_skipped_starts", "log_starts"]

"""Counts what leaders logged of rounds that overlap, restarts of VMs and leases that ended."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

LEADER_ELECTED = 2002
LEASE_ENDED = 7006
RUNS_ORDERED = 7007
DECISIONS_STOPPED = 7011
TASK_ENDED = 7012
DECISIONS_STARTED = 7024
COPIES_ORDERED = 7050
RUNS_IN_DOUBT = 7066
OTHER_BOOT_ANSWERED = 7090
LATE_COMMIT = "it may still take effect"


@dataclass(slots=True, kw_only=True)
class LeaderCounts:
    """Numbers of events in the logs of all control nodes.

    Attributes:
        slow_copies: Copies of slow runs that were ordered.
        silent_copies: Copies of runs on silent VMs that were ordered.
        late_commits: Rounds of placement whose starts were not confirmed in time but might be committed.
        repeated_rounds: Rounds that ordered starts in the same term after such a round.
        terms: Terms in which a leader took decisions.
        restarts_in_doubt: Restarts of a VM under its ID with runs that the next boot may start.
        other_boots: Answers to an order by the next boot of a VM.
        ended_leases: Leases that ended without contact.
    """

    slow_copies: int = 0
    silent_copies: int = 0
    late_commits: int = 0
    repeated_rounds: int = 0
    terms: int = 0
    restarts_in_doubt: int = 0
    other_boots: int = 0
    ended_leases: int = 0

    def add_log(self, path: Path) -> None:
        """Adds the log of one control node."""
        is_repeated, term = False, 0
        for line in read_events(path):
            match line["event"]:
                case code if code == DECISIONS_STARTED:
                    self.terms += int(line["term"] != term)
                    is_repeated &= line["term"] == term
                    term = line["term"]
                case code if code == COPIES_ORDERED and line["reason"] == "slow runs":
                    self.slow_copies += line["count"]
                case code if code == COPIES_ORDERED:
                    self.silent_copies += line["count"]
                case code if code == TASK_ENDED and line["task"] == "dispatcher":
                    is_late = LATE_COMMIT in line["reason"]
                    self.late_commits += int(is_late)
                    is_repeated |= is_late
                case code if code == RUNS_ORDERED and is_repeated:
                    self.repeated_rounds += 1
                    is_repeated = False
                case code if code == RUNS_IN_DOUBT:
                    self.restarts_in_doubt += 1
                case code if code == OTHER_BOOT_ANSWERED:
                    self.other_boots += 1
                case code if code == LEASE_ENDED:
                    self.ended_leases += 1
                case _:
                    pass

    def describe(self) -> str:
        """Returns a summary of one line."""
        return (
            f"{self.slow_copies} copies of slow runs, {self.silent_copies} of silent VMs, "
            f"{self.late_commits} late commits, {self.repeated_rounds} rounds repeated, {self.terms} terms, "
            f"{self.restarts_in_doubt} restarts in doubt (7066), {self.other_boots} answers of the next boot (7090), "
            f"{self.ended_leases} leases ended (7006)"
        )


def read_events(path: Path) -> Iterator[dict[str, Any]]:
    """Yields the events that a program logged; a line that was cut off by a kill is left out."""
    for line in path.read_text(errors="replace").splitlines():
        try:
            event = json.loads(line)
        except ValueError:
            continue
        if isinstance(event, dict) and "event" in event:
            yield event


def find_leader_name(paths: list[Path]) -> str:
    """Returns the name of the node that was elected in the highest term; empty before an election."""
    elections = [
        (event["term"], path.parent.name)
        for path in paths
        for event in read_events(path)
        if event["event"] == LEADER_ELECTED
    ]
    return max(elections, default=(0, ""))[1]


__all__ = ["LeaderCounts", "find_leader_name", "read_events"]

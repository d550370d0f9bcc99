"""Counts the starts of one round against the upper limits of their teams."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hyssopway.workflow import Capacity, Indexes

    from .ready_step import ReadyStep
    from .team_shares import TeamShares


class TeamUsage:
    """Counts the starts of one round against the upper limits of their teams.

    Attributes:
        indexes: Indexes of the replicated state, which have the limits and the usage.
        shares: Shares of teams, which count each start, too.
        reserved: Millicores, megabytes of memory and accelerators of the starts of this round, by team ID.
    """

    __slots__ = ("indexes", "reserved", "shares")

    def __init__(self, *, indexes: Indexes, shares: TeamShares) -> None:
        self.indexes = indexes
        self.shares = shares
        self.reserved: dict[str, list[int]] = {}

    def reserve(self, ready: ReadyStep, count: int = 1) -> bool:
        """Counts more tasks of a step that start together; counts none and returns False if its team would exceed its limit."""
        if not self._reserve_of_limit(ready, count=count):
            return False
        for _ in range(count):
            self.shares.add_start(ready)
        return True

    def _reserve_of_limit(self, ready: ReadyStep, *, count: int) -> bool:
        team = self.indexes.teams.get(ready.workflow.team)
        if team is None:
            return True
        use = self.indexes.team_usage.get(ready.workflow.team)
        reserved = self.reserved.setdefault(ready.workflow.team, [0, 0, 0])
        step = ready.step
        total = [
            reserved[0] + count * step.cpu_millis + (use.cpu_millis if use else 0),
            reserved[1] + count * step.memory_mb + (use.memory_mb if use else 0),
            reserved[2] + count * step.accelerators + (use.accelerators if use else 0),
        ]
        if not _is_within(total, limit=team.upper_limit):
            return False
        reserved[0] += count * step.cpu_millis
        reserved[1] += count * step.memory_mb
        reserved[2] += count * step.accelerators
        return True


def _is_within(amounts: list[int], *, limit: Capacity) -> bool:
    # A limit of 0 means no limit.
    limits = (limit.cpu_millis, limit.memory_mb, limit.accelerators)
    return all(not most or amount <= most for amount, most in zip(amounts, limits, strict=True))


__all__ = ["TeamUsage"]

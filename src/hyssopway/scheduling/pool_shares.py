"""Usage and entitlement of the teams in one pool, for loads in which one team sends several times its usual demand.

Weighted dominant-resource fairness (Ghodsi et al., "Dominant Resource Fairness", NSDI 2011) over CPU, memory and
accelerators: the share of a team is the largest fraction of any one resource of the pool that it holds.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from .fair_shares import fair_shares

if TYPE_CHECKING:
    from collections.abc import Mapping

    from hyssopway.workflow import Capacity, Step, Usage

# Random demand of teams that send equally much on average moves their usage by about this factor. Below it, the
# service order without shares serves more workflows in time.
TOLERANCE = 1.5
# A fair share below this fraction of a pool can't be told from none.
MIN_SHARE = 1e-6


@dataclass(slots=True, kw_only=True)
class ResourceAmounts:
    """Amounts of the resources of a pool.

    Attributes:
        cpu_millis: CPU in millicores, without best-effort tasks.
        memory_mb: Memory in megabytes.
        accelerators: Number of accelerators.
    """

    cpu_millis: float = 0.0
    memory_mb: float = 0.0
    accelerators: float = 0.0

    @staticmethod
    def of(amounts: Capacity | Usage) -> ResourceAmounts:
        """Returns the amounts of a capacity or a usage."""
        return ResourceAmounts(
            cpu_millis=amounts.cpu_millis,
            memory_mb=amounts.memory_mb,
            accelerators=amounts.accelerators,
        )

    def add(self, step: Step, *, count: float) -> None:
        """Adds tasks of a step; best-effort tasks count without CPU because they use what others leave."""
        if not step.fills:
            self.cpu_millis += count * step.cpu_millis
        self.memory_mb += count * step.memory_mb
        self.accelerators += count * step.accelerators

    def increase(self, other: ResourceAmounts, *, factor: float = 1.0) -> None:
        """Adds other amounts times a factor."""
        self.cpu_millis += factor * other.cpu_millis
        self.memory_mb += factor * other.memory_mb
        self.accelerators += factor * other.accelerators

    def plus(self, other: ResourceAmounts) -> ResourceAmounts:
        """Returns the sum."""
        return ResourceAmounts(
            cpu_millis=self.cpu_millis + other.cpu_millis,
            memory_mb=self.memory_mb + other.memory_mb,
            accelerators=self.accelerators + other.accelerators,
        )

    def exceeds(self, other: ResourceAmounts) -> bool:
        """Returns whether any amount is larger."""
        return (
            self.cpu_millis > other.cpu_millis
            or self.memory_mb > other.memory_mb
            or self.accelerators > other.accelerators
        )

    def dominant_share(self, capacity: ResourceAmounts) -> float:
        """Returns the largest fraction of any one resource; a resource that the pool lacks does not count."""
        return max(
            self.cpu_millis / capacity.cpu_millis if capacity.cpu_millis else 0.0,
            self.memory_mb / capacity.memory_mb if capacity.memory_mb else 0.0,
            self.accelerators / capacity.accelerators if capacity.accelerators else 0.0,
        )


class PoolShares:
    """Shares of the teams in a pool that is requested beyond its capacity, during one scheduling round.

    Attributes:
        capacity: Capacity of the pool.
        usage: Amounts in use by team, including the starts of this round.
        fair: Fair dominant share by team.
        compensation: Additional dominant share by team for a past deficit.
        excesses: Results of `excess` that are still valid, by team.
    """

    __slots__ = ("capacity", "compensation", "excesses", "fair", "usage")

    def __init__(
        self,
        *,
        capacity: ResourceAmounts,
        usage: Mapping[str, ResourceAmounts],
        waiting: Mapping[str, ResourceAmounts],
        weights: Mapping[str, float],
    ) -> None:
        self.capacity = capacity
        self.usage = {team: usage.get(team, ResourceAmounts()) for team in {*usage, *waiting}}
        demands = {
            team: held.plus(waiting.get(team, ResourceAmounts())).dominant_share(capacity)
            for team, held in self.usage.items()
        }
        self.fair = fair_shares(weights={team: weights.get(team, 1.0) for team in demands}, demands=demands)
        self.compensation: dict[str, float] = {}
        self.excesses: dict[str, float] = {}

    def held(self, team: str) -> float:
        """Returns the dominant share that a team holds."""
        return self.usage[team].dominant_share(self.capacity)

    def excess(self, team: str) -> float:
        """Returns how many times its share a team holds; 0 within the tolerance."""
        known = self.excesses.get(team)
        if known is not None:
            return known
        entitled = self.fair[team] + self.compensation.get(team, 0.0)
        ratio = self.held(team) / max(entitled, MIN_SHARE)
        excess = self.excesses[team] = ratio if ratio > TOLERANCE else 0.0
        return excess

    def add_start(self, team: str, step: Step) -> None:
        """Counts the start of one task of a step."""
        self.usage[team].add(step, count=1)
        self.excesses.pop(team, None)


__all__ = ["TOLERANCE", "PoolShares", "ResourceAmounts"]

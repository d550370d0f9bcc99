"""Team shares of one scheduling round."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hyssopway.event import Event, log_event
from hyssopway.scheduling.pool_shares import PoolShares, ResourceAmounts
from hyssopway.scheduling.share_deficits import ShareDeficits
from hyssopway.scheduling.share_order import serve_by_share

if TYPE_CHECKING:
    from collections import Counter
    from collections.abc import Iterator

    from hyssopway.workflow import WorkflowState

    from .free_capacity import FreeCapacity
    from .ready_step import ReadyStep

LOG_INTERVAL_S = 1.0


class TeamShares:
    """Orders the waiting steps of each round by the shares of their teams; soft state of one term.

    Attributes:
        state: Replicated state.
        deficits: Past deficits of teams.
        pools: Shares by pool, only of pools whose waiting tasks exceed the free capacity.
        logged_at: Local time of the last log line by pool.
        counters: Numbers of scheduling decisions.
    """

    __slots__ = ("counters", "deficits", "logged_at", "pools", "state")

    def __init__(self, *, state: WorkflowState, counters: Counter[str]) -> None:
        self.state = state
        self.deficits = ShareDeficits()
        self.pools: dict[str, PoolShares] = {}
        self.logged_at: dict[str, float] = {}
        self.counters = counters

    def begin_round(
        self, ready: list[ReadyStep], *, free_by_pool: dict[str, list[FreeCapacity]], now: float
    ) -> None:
        """Computes the shares of a round.

        Args:
            ready: Waiting steps.
            free_by_pool: Free capacity of VMs by pool.
            now: Local time in seconds.
        """
        waiting: dict[str, dict[str, ResourceAmounts]] = {}
        for item in ready:
            amounts = waiting.setdefault(self._pool_of(item), {}).setdefault(
                item.workflow.team, ResourceAmounts()
            )
            amounts.add(item.step, count=len(item.indexes))
        self.pools = {}
        contended = {
            pool: by_team
            for pool, by_team in waiting.items()
            if len(by_team) > 1 and _exceeds_free(by_team, free=free_by_pool.get(pool, []))
        }
        if contended and self.state.indexes.teams:
            self._compute_pools(contended, now=now)
        self.deficits.drop_decayed(now=now)

    def iterate(self, ready: list[ReadyStep]) -> Iterator[ReadyStep]:
        """Yields the steps in the order of service; `add_start` is called for each start in between."""
        if not self.pools:
            return iter(ready)
        return serve_by_share(
            ready,
            level_of=lambda item: item.order[:2],
            account_of=lambda item: (self._pool_of(item), item.workflow.team),
            excess_of=self._excess,
        )

    def add_start(self, item: ReadyStep) -> None:
        """Counts the start of one task."""
        shares = self.pools.get(self._pool_of(item))
        if shares is not None:
            shares.add_start(item.workflow.team, item.step)

    def _pool_of(self, item: ReadyStep) -> str:
        return self.state.indexes.pool_of(item.workflow)

    def _excess(self, account: tuple[str, str]) -> float:
        pool, team = account
        shares = self.pools.get(pool)
        return shares.excess(team) if shares is not None else 0.0

    def _compute_pools(self, contended: dict[str, dict[str, ResourceAmounts]], *, now: float) -> None:
        indexes = self.state.indexes
        weights = {name: team.weight for name, team in indexes.teams.items()}
        capacities = {pool: ResourceAmounts() for pool in contended}
        for vm in self.state.tables.vms.values():
            capacity = capacities.get(vm.pool)
            if capacity is not None:
                capacity.increase(ResourceAmounts.of(vm.capacity))
        for pool, waiting in contended.items():
            usage = {
                team: ResourceAmounts.of(used) for team, used in indexes.pool_usage.get(pool, {}).items()
            }
            shares = PoolShares(capacity=capacities[pool], usage=usage, waiting=waiting, weights=weights)
            for team in waiting:
                shares.compensation[team] = self.deficits.update(
                    (pool, team), fair=shares.fair[team], held=shares.held(team), now=now
                )
            self.pools[pool] = shares
            self._report(pool, shares=shares, waiting=waiting, now=now)

    def _report(
        self, pool: str, *, shares: PoolShares, waiting: dict[str, ResourceAmounts], now: float
    ) -> None:
        beyond = {team: round(excess, 1) for team in waiting if (excess := shares.excess(team))}
        if not beyond:
            return
        self.counters["share_rounds"] += 1
        if now - self.logged_at.get(pool, float("-inf")) < LOG_INTERVAL_S:
            return
        self.logged_at[pool] = now
        log_event(
            Event.SHARES_APPLIED,
            pool=pool,
            teams=len(waiting),
            beyond=beyond,
            held={team: round(shares.held(team), 3) for team in beyond},
            fair={team: round(shares.fair[team], 3) for team in beyond},
            waiting={team: round(waiting[team].cpu_millis / 1000) for team in beyond},
        )


def _exceeds_free(by_team: dict[str, ResourceAmounts], *, free: list[FreeCapacity]) -> bool:
    waiting, available = ResourceAmounts(), ResourceAmounts()
    for amounts in by_team.values():
        waiting = waiting.plus(amounts)
    for vm in free:
        available.cpu_millis += vm.cpu_millis
        available.memory_mb += vm.memory_mb
        available.accelerators += vm.accelerators
    return waiting.exceeds(available)


__all__ = ["TeamShares"]

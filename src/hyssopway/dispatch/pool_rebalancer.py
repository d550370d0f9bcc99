"""Moves machines between pools according to demand, on behalf of one leader."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import TYPE_CHECKING

from hyssopway.clock import wall_ms
from hyssopway.event import Event, log_event
from hyssopway.workflow import RecordMachineOrders, RemoveVm

from .demand_forecast import DemandForecast
from .machine_calls import MachineCallError, MachineOrderResult
from .order_rate_limiter import OrderRateLimiter
from .pool_load import measure_pools
from .pool_plan import PoolDemand, plan_moves, required_vms
from .step_sizes import StepSizes

if TYPE_CHECKING:
    from .duration_scale import DurationScale
    from .leadership import Leadership
    from .machine_calls import MachineCalls
    from .machine_inventory import MachineInventory
    from .pool_load import PoolLoad
    from .pool_plan import MachineMove
    from .vm_drainer import VmDrainer

INTERVAL_S = 0.25
MAX_LIST_AGE_S = 1.0
# Below the cost of a move to the standby pool and back, which is 3 s of machine time, because few idle machines are
# needed again within the same burst.
MIN_IDLE_S = 2.0
# A moved machine counts towards its new pool for this long after the move, or until its VM registers.
JOIN_TIMEOUT_S = 1.5
# Time from the end of a move until the VM has registered and answered a poll.
JOIN_DELAY_S = 0.4
SCARCITY_LOG_INTERVAL_S = 1.0
# Order rate that is assumed in estimates when the platform accepts no orders at all.
MIN_ORDER_RATE_PER_S = 0.01


class PoolRebalancer:
    """Follows the demand of all pools and moves idle machines.

    Attributes:
        leadership: Term on whose behalf machines are moved.
        calls: Client of the platform.
        machines: Machines as the platform lists them.
        drainer: Cordons VMs before their machine moves.
        move_s: Duration of a move in seconds.
        rate_limiter: Rate limit of move orders.
        forecast: Demand by pool at the time when a machine ordered now arrives.
        idle_since: Local time since which each VM has been idle, by VM ID; a machine that moves gets a new VM.
        step_sizes: Mean CPU demand of the steps of each pool.
        incoming: Machines that are moving: their target pool and the local time until which they count towards it.
        counters: Counts moves that were carried out, plans with fewer machines than deficits, and expected bursts.
        scarcity_logged_at: Local time of the last log line about scarce machines.
        impossible_moves: Pairs of source and target pool for which the platform rejected a move; not ordered again.
    """

    __slots__ = (
        "calls",
        "counters",
        "drainer",
        "forecast",
        "idle_since",
        "impossible_moves",
        "incoming",
        "leadership",
        "machines",
        "move_s",
        "rate_limiter",
        "scarcity_logged_at",
        "step_sizes",
    )

    def __init__(
        self,
        *,
        leadership: Leadership,
        calls: MachineCalls,
        machines: MachineInventory,
        drainer: VmDrainer,
        scale: DurationScale,
        move_s: float,
        orders_per_s: float,
        counters: Counter[str] | None = None,
    ) -> None:
        self.counters: Counter[str] = Counter() if counters is None else counters
        self.scarcity_logged_at = float("-inf")
        self.leadership = leadership
        self.calls = calls
        self.machines = machines
        self.drainer = drainer
        self.move_s = move_s
        self.rate_limiter = OrderRateLimiter(accepted_per_s=orders_per_s, now=leadership.clock())
        self.forecast = DemandForecast(ahead_s=move_s + JOIN_DELAY_S, scale=scale.read)
        self.idle_since: dict[str, float] = {}
        self.incoming: dict[str, tuple[str, float]] = {}
        self.step_sizes = StepSizes()
        self.impossible_moves: set[tuple[str, str]] = set()

    async def run(self) -> None:
        """Rebalances the pools periodically until the term ends."""
        while self.leadership.holds:
            await asyncio.sleep(INTERVAL_S)
            document = self.leadership.state.tables.document
            standby = next((pool.name for pool in document.pools if pool.standby), "") if document else ""
            loads = measure_pools(
                tables=self.leadership.state.tables,
                waiting_millis=self.drainer.dispatcher.waiting_millis,
            )
            if standby and self.leadership.may_order():
                await self.machines.refresh(max_age_s=MAX_LIST_AGE_S)
                await self.rebalance(standby, loads=loads)

    async def rebalance(self, standby: str, *, loads: dict[str, PoolLoad]) -> None:
        """Orders the moves that the present demand of all pools requires.

        Args:
            standby: Name of the standby pool.
            loads: Load by pool.
        """
        now = self.leadership.clock()
        self.incoming = {key: value for key, value in self.incoming.items() if now < value[1]}
        known = {machine.vm_id for machine in self.machines.machines.values()}
        known.update(self.leadership.state.tables.vms)
        self.idle_since = {vm_id: since for vm_id, since in self.idle_since.items() if vm_id in known}
        vms = self.leadership.state.tables.vms.values()
        vm_sizes = [vm.capacity.cpu_millis for vm in vms if vm.capacity.cpu_millis > 0]
        if not vm_sizes or not self.machines.machines:
            return
        state = self.leadership.state
        self.forecast.update(tables=state.tables, indexes=state.indexes, now_ms=wall_ms())
        self._report_bursts()
        self.step_sizes.update(tables=state.tables, indexes=state.indexes)
        vm_millis = sorted(vm_sizes)[len(vm_sizes) // 2]
        pools = self._list_pools() - {standby}
        demands = [self._compute_demand(pool, load=load) for pool, load in loads.items() if pool in pools]
        moves = plan_moves(
            demands=demands,
            standby=standby,
            standby_machines=self._list_standby_machines(standby),
            vm_millis=vm_millis,
        )
        self._report_scarcity(moves, demands=demands, vm_millis=vm_millis)
        moves = [move for move in moves if (move.source, move.target) not in self.impossible_moves]
        moves = moves[: self.rate_limiter.acquire(len(moves), now=now)]
        if not moves:
            return
        machine_ids = tuple(move.machine_id for move in moves)
        await self.leadership.propose(RecordMachineOrders(machines=machine_ids, at_ms=wall_ms()))
        await asyncio.gather(*(self._move(move) for move in moves))

    def list_arrivals_ms(self, pool: str) -> list[float] | None:
        """Returns the earliest wall-clock times at which further VMs may join a pool, in order.

        Counts the machines that are moving to it, and all machines that could be moved: those of the standby pool and
        those of other pools on which nothing runs. None while there is a standby pool but no list of machines.
        """
        tables = self.leadership.state.tables
        if not self.machines.machines and tables.document is not None:
            return None if any(item.standby for item in tables.document.pools) else []
        now, now_ms = self.leadership.clock(), wall_ms()
        joining = {machine.machine_id for machine in self.machines.machines.values() if machine.pool == pool}
        joining |= {machine_id for machine_id, (target, _) in self.incoming.items() if target == pool}
        times = []
        orders = 0
        for machine_id, machine in self.machines.machines.items():
            record = tables.vms.get(machine.vm_id)
            if record is not None and record.pool == pool:
                continue
            if machine_id in joining:
                until = self.incoming[machine_id][1] if machine_id in self.incoming else now
                times.append(now_ms + 1000 * max(0.0, until - JOIN_TIMEOUT_S - now))
            elif record is None or not record.runs:
                orders += 1
                delay_s = self.move_s + orders / max(MIN_ORDER_RATE_PER_S, self.rate_limiter.rate_per_s)
                times.append(now_ms + 1000 * delay_s)
        return sorted(times)

    def _list_pools(self) -> set[str]:
        """Returns the pools of the configuration and those that the platform lists; a VM may name any other."""
        document = self.leadership.state.tables.document
        configured = {pool.name for pool in document.pools} if document is not None else set()
        return configured | {machine.pool for machine in self.machines.machines.values()}

    def _report_bursts(self) -> None:
        """Counts the bursts that are newly expected, which are also logged, and those that have not begun."""
        self.counters["bursts_missed"] += len(self.forecast.missed_bursts)
        for burst in self.forecast.new_bursts:
            self.counters["bursts_expected"] += 1
            log_event(
                Event.BURST_EXPECTED,
                pool=burst.pool,
                follows=burst.follows,
                in_ms=round(burst.start_ms - wall_ms()),
                millicores=round(burst.demand_millis),
            )

    def _report_scarcity(
        self, moves: list[MachineMove], *, demands: list[PoolDemand], vm_millis: int
    ) -> None:
        """Counts a plan that leaves a pool short of machines, and logs one such plan a second."""
        required = {demand.pool: required_vms(demand, vm_millis=vm_millis) for demand in demands}
        missing = {
            demand.pool: required[demand.pool] - demand.vms
            for demand in demands
            if required[demand.pool] > demand.vms
        }
        planned = Counter(move.target for move in moves if move.target in missing)
        if planned.total() >= sum(missing.values()):
            return
        self.counters["scarce_machine_plans"] += 1
        now = self.leadership.clock()
        if now - self.scarcity_logged_at >= SCARCITY_LOG_INTERVAL_S:
            self.scarcity_logged_at = now
            log_event(
                Event.MACHINES_SCARCE,
                missing=missing,
                required={pool: required[pool] for pool in missing},
                planned=dict(planned),
            )

    def _compute_demand(self, pool: str, *, load: PoolLoad) -> PoolDemand:
        tables = self.leadership.state.tables
        now = self.leadership.clock()
        reachable = self._vms_in_contact(now)
        usable_vms = sum(
            vm.pool == pool
            and tables.accepts_starts(vm)
            and vm_id not in self.drainer.cordoned_at
            and vm_id in reachable
            for vm_id, vm in tables.vms.items()
        )
        registered = {
            machine.machine_id for machine in self.machines.machines.values() if machine.vm_id in tables.vms
        }
        moving = sum(
            target == pool and machine_id not in registered
            for machine_id, (target, _) in self.incoming.items()
        )
        idle = self._list_idle_machines(pool)
        return PoolDemand(
            pool=pool,
            vms=usable_vms + moving,
            long_running_millis=load.long_running_millis,
            short_millis=load.short_millis + load.waiting_millis,
            forecast_millis=self.forecast.read(pool),
            min_spread_vms=self._min_spread_vms(pool),
            idle_machines=idle,
            long_idle_count=sum(self._idle_time_s(machine_id) >= MIN_IDLE_S for machine_id in idle),
            mean_step_millis=self.step_sizes.read(pool),
        )

    def _idle_time_s(self, machine_id: str) -> float:
        vm_id = self.machines.machines[machine_id].vm_id
        now = self.leadership.clock()
        return now - self.idle_since.get(vm_id, now)

    def _vms_in_contact(self, now: float) -> set[str]:
        return {vm_id for vm_id, link in self.drainer.links.items() if link.in_contact(now)}

    def _list_idle_machines(self, pool: str) -> tuple[str, ...]:
        tables = self.leadership.state.tables
        now = self.leadership.clock()
        idle = []
        for machine in self.machines.machines.values():
            record = tables.vms.get(machine.vm_id)
            if record is None or record.pool != pool:
                continue
            if record.runs or record.draining or not self.machines.is_available(machine.machine_id):
                self.idle_since.pop(machine.vm_id, None)
                continue
            since = self.idle_since.setdefault(machine.vm_id, now)
            if machine.vm_id not in self.drainer.cordoned_at:
                idle.append((since, machine.machine_id))
        return tuple(machine_id for _, machine_id in sorted(idle))

    def _list_standby_machines(self, standby: str) -> list[str]:
        evacuated = self.leadership.state.tables.evacuated
        return sorted(
            machine.machine_id
            for machine in self.machines.machines.values()
            if machine.pool == standby
            and machine.zone not in evacuated
            and self.machines.is_available(machine.machine_id)
        )

    def _min_spread_vms(self, pool: str) -> int:
        """Returns the number of VMs that the largest open step with a spread limit needs."""
        state = self.leadership.state
        most_vms = 0
        for workflow_id in state.indexes.open_workflows:
            workflow = state.tables.workflows[workflow_id]
            if state.indexes.pool_of(workflow) != pool:
                continue
            for step in workflow.spec.steps:
                if step.spread_limit:
                    most_vms = max(most_vms, -(-step.count // step.spread_limit))
        return most_vms

    async def _move(self, move: MachineMove) -> None:
        machine = self.machines.machines.get(move.machine_id)
        if machine is None or not self.machines.is_available(move.machine_id):
            return
        if machine.vm_id in self.drainer.cordoned_at:
            return  # a wave has begun to drain the VM since the move was planned
        record = self.leadership.state.tables.vms.get(machine.vm_id)
        if record is None and machine.vm_id in self.idle_since:
            return  # the VM has left since the move was planned, and another one with runs may have taken its place
        if record is not None:
            # The VM is cordoned before the check, so that no start is placed after it. A start that is being
            # replicated, or was in between, keeps the machine in its pool.
            self.drainer.cordon(record.vm_id, reason=f"moves to pool {move.target}")
            if not self.drainer.is_empty(record.vm_id):
                self.drainer.uncordon(record.vm_id)
                return
        if not self.leadership.may_order():
            self.drainer.uncordon(machine.vm_id)
            return
        self.machines.record_order(move.machine_id, duration_s=self.move_s)
        try:
            result = await self.calls.order_move(
                machine_id=move.machine_id,
                pool=move.target,
                fencing_token=self.leadership.term,
                may_send=self.leadership.may_order,
            )
        except MachineCallError as error:
            log_event(Event.PLATFORM_FAILED, call="order_move", error=str(error))
            # The move may have been carried out, and the list then shows the machine when it is up again. It may also
            # still be carried out, and would end the runs that the VM gets until then.
            if machine.vm_id:
                self.drainer.hold(machine.vm_id, seconds=self.machines.machine_lease_s)
            self.drainer.uncordon(machine.vm_id)
            return
        log_event(
            Event.MACHINE_MOVED,
            machine=move.machine_id,
            source=move.source,
            target=move.target,
            result=str(result),
        )
        if result is MachineOrderResult.GONE:
            self.impossible_moves.add((move.source, move.target))
        if result is MachineOrderResult.DONE:
            self.counters["machine_moves"] += 1
            until = self.leadership.clock() + self.move_s + JOIN_TIMEOUT_S
            self.incoming[move.machine_id] = (move.target, until)
            if record is not None:
                await self.leadership.propose(RemoveVm(vm=record.vm_id, boot=record.boot, at_ms=wall_ms()))
        # Uncordoned after its record is removed, so that it gets no runs in between.
        self.drainer.uncordon(machine.vm_id)


__all__ = ["PoolRebalancer"]

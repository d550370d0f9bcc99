"""Moves machines between pools on behalf of one leader."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from hyssopway.clock import wall_ms
from hyssopway.event import Event, log_event
from hyssopway.workflow import RecordMachineOrders, RemoveVm

from .demand_forecast import DemandForecast
from .machine_calls import MachineCallError, MachineOrderResult
from .order_rate_limiter import OrderRateLimiter
from .pool_load import measure_pools
from .pool_plan import PoolDemand, plan_moves
from .step_sizes import StepSizes

if TYPE_CHECKING:
    from .duration_scale import DurationScale
    from .leadership import Leadership
    from .machine_calls import MachineCalls
    from .machine_inventory import MachineInventory
    from .pool_load import PoolLoad
    from .pool_plan import MachineMove
    from .vm_drainer import VmDrainer

STEP_S = 0.25
LIST_S = 1.0
# Below what a move there and back costs (3 s of a machine in a pool): few idle machines are needed again in a turn.
IDLE_KEEP_S = 2.0
# A moved machine is counted for its new pool for this long beyond the move, until its VM announces itself.
ARRIVAL_S = 1.5
# From the end of a move until the VM has announced itself and was looked at.
JOIN_S = 0.4


class PoolRebalancer:
    """Follows the demand of all pools and moves idle machines.

    Attributes:
        leadership: The term.
        calls: Client of the platform.
        machines: Machines as listed last.
        drainer: VMs that get no starts.
        move_s: Duration of a move.
        rate_limiter: Rate of the orders.
        forecast: Demand by pool when a machine ordered now arrives.
        idle_since: Local time since which each VM has been idle; a machine that moves gets another VM.
        step_sizes: How wide the steps of each pool are.
        arrivals: Machines on their way, with their next pool and the local time until which they count there.
        refused: Pairs of pools that machines cannot move between.
    """

    __slots__ = (
        "arrivals",
        "calls",
        "drainer",
        "forecast",
        "idle_since",
        "leadership",
        "machines",
        "move_s",
        "rate_limiter",
        "refused",
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
    ) -> None:
        self.leadership = leadership
        self.calls = calls
        self.machines = machines
        self.drainer = drainer
        self.move_s = move_s
        self.rate_limiter = OrderRateLimiter(accepted_per_s=orders_per_s, now=leadership.clock())
        self.forecast = DemandForecast(ahead_s=move_s + JOIN_S, scale=scale.read)
        self.idle_since: dict[str, float] = {}
        self.arrivals: dict[str, tuple[str, float]] = {}
        self.step_sizes = StepSizes()
        self.refused: set[tuple[str, str]] = set()

    async def run(self) -> None:
        """Looks at the pools again and again until the term ends."""
        while self.leadership.holds:
            await asyncio.sleep(STEP_S)
            document = self.leadership.state.tables.document
            standby = next((pool.name for pool in document.pools if pool.standby), "") if document else ""
            loads = measure_pools(
                tables=self.leadership.state.tables,
                waiting_millis=self.drainer.dispatcher.waiting_millis,
            )
            if standby and self.leadership.may_order():
                await self.machines.refresh(max_age_s=LIST_S)
                await self.rebalance(standby, loads=loads)

    async def rebalance(self, standby: str, *, loads: dict[str, PoolLoad]) -> None:
        """Orders the moves that the demand of all pools asks for now."""
        now = self.leadership.clock()
        self.arrivals = {key: value for key, value in self.arrivals.items() if now < value[1]}
        sizes = [vm.capacity.cpu_millis for vm in self.leadership.state.tables.vms.values()]
        if not sizes or not self.machines.machines:
            return
        state = self.leadership.state
        self.forecast.update(tables=state.tables, indexes=state.indexes, now_ms=wall_ms())
        self.step_sizes.follow(tables=state.tables, indexes=state.indexes)
        moves = plan_moves(
            demands=[self._describe(pool, load=load) for pool, load in loads.items() if pool != standby],
            standby=standby,
            standby_machines=self._list_standby(standby),
            vm_millis=sorted(sizes)[len(sizes) // 2],
        )
        moves = [move for move in moves if (move.source, move.target) not in self.refused]
        moves = moves[: self.rate_limiter.acquire(len(moves), now=now)]
        if not moves:
            return
        machine_ids = tuple(move.machine_id for move in moves)
        await self.leadership.propose(RecordMachineOrders(machines=machine_ids, at_ms=wall_ms()))
        await asyncio.gather(*(self._move(move) for move in moves))

    def _describe(self, pool: str, *, load: PoolLoad) -> PoolDemand:
        tables = self.leadership.state.tables
        now = self.leadership.clock()
        evacuated = tables.evacuated
        in_contact = self._in_contact(now)
        usable = sum(
            vm.pool == pool
            and not vm.draining
            and vm.zone not in evacuated
            and vm_id not in self.drainer.cordoned_at
            and vm_id in in_contact
            for vm_id, vm in tables.vms.items()
        )
        announced = {
            machine.machine_id for machine in self.machines.machines.values() if machine.vm_id in tables.vms
        }
        coming = sum(
            target == pool and machine_id not in announced
            for machine_id, (target, _) in self.arrivals.items()
        )
        idle = self._list_idle(pool)
        return PoolDemand(
            pool=pool,
            vms=usable + coming,
            long_running_millis=load.long_running_millis,
            short_millis=load.short_millis + load.waiting_millis,
            forecast_millis=self.forecast.read(pool),
            spread_vms=self._spread_vms(pool),
            idle_machines=idle,
            long_idle=sum(self._idle_s(machine_id) >= IDLE_KEEP_S for machine_id in idle),
            step_millis=self.step_sizes.read(pool),
        )

    def _idle_s(self, machine_id: str) -> float:
        vm_id = self.machines.machines[machine_id].vm_id
        return self.leadership.clock() - self.idle_since[vm_id]

    def _in_contact(self, now: float) -> set[str]:
        return {vm_id for vm_id, link in self.drainer.links.items() if link.in_contact(now)}

    def _list_idle(self, pool: str) -> tuple[str, ...]:
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

    def _list_standby(self, standby: str) -> list[str]:
        evacuated = self.leadership.state.tables.evacuated
        return sorted(
            machine.machine_id
            for machine in self.machines.machines.values()
            if machine.pool == standby
            and machine.zone not in evacuated
            and self.machines.is_available(machine.machine_id)
        )

    def _spread_vms(self, pool: str) -> int:
        """VMs that the widest open step with a limit on tasks a VM needs."""
        state = self.leadership.state
        widest = 0
        for workflow_id in state.indexes.open_workflows:
            workflow = state.tables.workflows[workflow_id]
            if state.tables.queue_pools.get(workflow.queue) != pool:
                continue
            for step in workflow.spec.steps:
                if step.spread_limit:
                    widest = max(widest, -(-step.count // step.spread_limit))
        return widest

    async def _move(self, move: MachineMove) -> None:
        machine = self.machines.machines[move.machine_id]
        record = self.leadership.state.tables.vms.get(machine.vm_id)
        if record is not None:
            # Closed first: a start that was agreed in between keeps the machine where it is.
            self.drainer.cordon(record.vm_id, reason=f"moves to pool {move.target}")
            if record.runs:
                self.drainer.uncordon(record.vm_id)
                return
        if not self.leadership.may_order():
            return
        self.machines.note_order(move.machine_id, duration_s=self.move_s)
        try:
            result = await self.calls.order_move(
                machine_id=move.machine_id,
                pool=move.target,
                fencing_token=self.leadership.term,
                may_send=self.leadership.may_order,
            )
        except MachineCallError as error:
            log_event(Event.PLATFORM_FAILED, call="order_move", error=str(error))
            # It may have been carried out; the list shows the machine when it is up again.
            self.drainer.uncordon(machine.vm_id)
            return
        log_event(
            Event.MACHINE_MOVED,
            machine=move.machine_id,
            source=move.source,
            target=move.target,
            result=str(result),
        )
        self.drainer.uncordon(machine.vm_id)
        if result is MachineOrderResult.GONE:
            self.refused.add((move.source, move.target))
        if result is not MachineOrderResult.DONE:
            return
        until = self.leadership.clock() + self.move_s + ARRIVAL_S
        self.arrivals[move.machine_id] = (move.target, until)
        if record is not None:
            await self.leadership.propose(RemoveVm(vm=record.vm_id, boot=record.boot, at_ms=wall_ms()))


__all__ = ["PoolRebalancer"]

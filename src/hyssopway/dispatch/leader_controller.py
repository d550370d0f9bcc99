"""Everything that one leader does while its term lasts."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from hyssopway.clock import wall_ms
from hyssopway.event import Event, log_event
from hyssopway.workflow import DeleteWorkflows, RegisterVm, RemoveVm

from .advice_fetcher import AdviceFetcher
from .dispatcher import Dispatcher
from .duration_scale import DurationScale
from .leadership import LeadershipLostError
from .machine_inventory import MachineInventory
from .pace_history import PaceHistory
from .poll_rate_limiter import PollRateLimiter
from .pool_load import measure_pools
from .pool_rebalancer import PoolRebalancer
from .retention import Retention
from .rtt_estimator import RttEstimator
from .vm_drainer import VmDrainer
from .vm_link import REMOVE_AFTER_S, VmLink
from .wave_executor import WaveExecutor

if TYPE_CHECKING:
    from collections.abc import Awaitable

    from .advice_calls import AdviceCalls
    from .leadership import Leadership
    from .machine_calls import MachineCalls
    from .platform_limits import PlatformLimits
    from .worker_calls import WorkerCalls

WATCH_S = 0.1
REPORT_S = 1.0


class LeaderController:
    """Links to all VMs and the decisions of a leader.

    Attributes:
        leadership: The term.
        calls: Client of worker VMs.
        limits: Bounds that the platform sets.
        links: VMs by identity.
        dispatcher: Places tasks.
        advice: Asks for the tickets of advised steps.
        emptying: VMs whose work ends or moves.
        waves: Carries out maintenance waves.
        scale: How far declared durations are off.
        mover: Moves machines between pools.
        poll_limiter: Rate of the polls at all VMs.
        pace_memory: How much tasks that fill disturb those that serve.
        rtt_estimator: Times that answers to orders take.
        retention: Workflows that ended, and since when.
        tasks: Running tasks by VM.
        reported_at: Local time of the last report of the load.
    """

    __slots__ = (
        "advice",
        "calls",
        "dispatcher",
        "emptying",
        "leadership",
        "limits",
        "links",
        "mover",
        "pace_memory",
        "poll_limiter",
        "reported_at",
        "retention",
        "rtt_estimator",
        "scale",
        "tasks",
        "waves",
    )

    def __init__(
        self,
        *,
        leadership: Leadership,
        calls: WorkerCalls,
        machines: MachineCalls,
        advisor: AdviceCalls,
        limits: PlatformLimits,
    ) -> None:
        self.leadership = leadership
        self.calls = calls
        self.limits = limits
        self.links: dict[str, VmLink] = {}
        self.reported_at = float("-inf")
        self.tasks: dict[str, asyncio.Task[None]] = {}
        self.scale = DurationScale()
        self.poll_limiter = PollRateLimiter()
        self.pace_memory = PaceHistory()
        self.rtt_estimator = RttEstimator()
        self.retention = Retention(keep_s=limits.status_s)
        self.dispatcher = Dispatcher(leadership=leadership, links=self.links)
        self.advice = AdviceFetcher(
            state=leadership.state,
            calls=advisor,
            tickets=self.dispatcher.tickets,
            clock=leadership.clock,
            wall_ms=wall_ms,
            list_free_capacity=self.dispatcher.list_free_capacity,
            on_tickets=self.dispatcher.changed.set,
        )
        self.emptying = VmDrainer(leadership=leadership, links=self.links, dispatcher=self.dispatcher)
        machine_list = MachineInventory(
            leadership=leadership,
            calls=machines,
            machine_lease_s=limits.machine_lease_s,
            min_down_s=min(limits.move_s, limits.maintenance_s),
        )
        self.mover = PoolRebalancer(
            leadership=leadership,
            calls=machines,
            machines=machine_list,
            drainer=self.emptying,
            scale=self.scale,
            move_s=limits.move_s,
            orders_per_s=limits.machine_orders_per_s,
        )
        self.waves = WaveExecutor(
            leadership=leadership,
            calls=machines,
            machines=machine_list,
            drainer=self.emptying,
            maintenance_s=limits.maintenance_s,
        )

    async def run(self) -> None:
        """Leads until the term ends."""
        self.leadership.state.on_change = self.dispatcher.changed.set
        works = {
            "dispatcher": self.dispatcher.run,
            "waves": self.waves.run,
            "pools": self.mover.run,
            "advice": self.advice.run,
        }
        running: dict[str, asyncio.Task[None]] = {}
        try:
            while self.leadership.holds:
                for name, work in works.items():
                    if name not in running or running[name].done():
                        running[name] = asyncio.create_task(_until_lost(name, work()))
                self._follow_vms()
                self._empty_draining()
                await self._forget_silent()
                await self._forget_ended()
                self._report_load()
                await asyncio.sleep(WATCH_S)
        except LeadershipLostError as error:
            log_event(Event.DECISIONS_STOPPED, term=self.leadership.term, reason=str(error))
        finally:
            self.leadership.state.on_change = None
            for task in (*running.values(), *self.tasks.values(), *self.dispatcher.sending):
                task.cancel()

    async def handle_announcement(self, command: RegisterVm) -> None:
        """Takes in what a VM says of itself; agrees on it only when something changed."""
        link = self.links.get(command.vm)
        if link is not None:
            link.heard_at = self.leadership.clock()
        known = self.leadership.state.tables.vms.get(command.vm)
        if known is not None and _is_known(known, command):
            return
        log_event(
            Event.VM_ANNOUNCED,
            vm=command.vm,
            pool=command.pool,
            address=command.address,
            draining=command.draining,
        )
        await self.leadership.propose(command)
        self._follow_vms()

    async def handle_departure(self, *, vm: str) -> None:
        """Takes in that a VM has ended."""
        known = self.leadership.state.tables.vms.get(vm)
        if known is not None:
            log_event(Event.VM_GONE, vm=vm, reason="it said that it leaves")
            await self.leadership.propose(RemoveVm(vm=vm, boot=known.boot, at_ms=wall_ms()))

    def _follow_vms(self) -> None:
        for vm_id in self.leadership.state.tables.vms:
            task = self.tasks.get(vm_id)
            if task is not None and not task.done():
                continue
            link = self.links.get(vm_id)
            if link is None:
                link = self.links[vm_id] = VmLink(
                    vm_id=vm_id,
                    leadership=self.leadership,
                    calls=self.calls,
                    limits=self.limits,
                    scale=self.scale,
                    poll_limiter=self.poll_limiter,
                    rtt_estimator=self.rtt_estimator,
                    pace_memory=self.pace_memory,
                    tickets=self.dispatcher.tickets,
                    on_change=self.dispatcher.changed.set,
                )
            self.tasks[vm_id] = asyncio.create_task(_until_lost(f"VM {vm_id}", link.run()))
        for vm_id in set(self.links) - set(self.leadership.state.tables.vms):
            del self.links[vm_id]
            self.tasks.pop(vm_id).cancel()

    def _empty_draining(self) -> None:
        for vm_id, vm in self.leadership.state.tables.vms.items():
            if vm.draining:
                self.emptying.cordon(vm_id, reason="it drains")
        if self.leadership.may_order():
            self.emptying.evict_runs()

    def _report_load(self) -> None:
        now = self.leadership.clock()
        if now - self.reported_at < REPORT_S:
            return
        self.reported_at = now
        loads = measure_pools(
            tables=self.leadership.state.tables, waiting_millis=self.dispatcher.waiting_millis
        )
        for pool, load in sorted(loads.items()):
            log_event(
                Event.POOL_LOAD,
                pool=pool,
                vms=load.vms,
                capacity=load.capacity_millis // 1000,
                steady=load.long_running_millis // 1000,
                short=load.short_millis // 1000,
                waiting=load.waiting_millis // 1000,
            )

    async def _forget_ended(self) -> None:
        workflows = self.leadership.state.tables.workflows
        expired = self.retention.find_expired(workflows, now=self.leadership.clock())
        if expired:
            await self.leadership.propose(DeleteWorkflows(workflow_ids=expired))
            log_event(Event.WORKFLOWS_FORGOTTEN, count=len(expired), left=len(workflows))

    async def _forget_silent(self) -> None:
        now = self.leadership.clock()
        for vm_id, link in list(self.links.items()):
            record = link.record
            if record is not None and now - link.heard_at > REMOVE_AFTER_S and now > link.lease.expires_at:
                log_event(Event.VM_GONE, vm=vm_id, reason=f"silent for {now - link.heard_at:.1f} s")
                await self.leadership.propose(RemoveVm(vm=vm_id, boot=record.boot, at_ms=wall_ms()))


async def _until_lost(name: str, work: Awaitable[None]) -> None:
    try:
        await work
    except LeadershipLostError as error:
        log_event(Event.TASK_ENDED, task=name, reason=str(error))
    except Exception as error:
        # The controller starts the task again.
        log_event(Event.TASK_FAILED, task=name, error=repr(error))


def _is_known(known: object, command: RegisterVm) -> bool:
    fields = ("boot", "address", "pool", "zone", "labels", "capacity", "draining")
    return all(getattr(known, field) == getattr(command, field) for field in fields)


__all__ = ["LeaderController"]

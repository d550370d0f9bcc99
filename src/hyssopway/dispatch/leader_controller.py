"""Runs all control loops of a leader for the duration of one term."""

from __future__ import annotations

import asyncio
from collections import Counter
from math import exp
from typing import TYPE_CHECKING

from hyssopway.clock import wall_ms
from hyssopway.event import Event, log_event
from hyssopway.scheduling.durations import DurationQuantiles
from hyssopway.scheduling.interference import InterferenceModel
from hyssopway.scheduling.machine_use import MachineUse
from hyssopway.scheduling.vm_rating import VmRatings
from hyssopway.workflow import DeleteWorkflows, RegisterVm, RemoveVm

from .admission_control import AdmissionControl
from .advice_fetcher import AdviceFetcher
from .boot_counts import BootCounts
from .contact_losses import ContactLosses
from .departed_boots import DepartedBoots
from .dispatcher import Dispatcher
from .duration_scale import DurationScale
from .late_starts import LateStarts
from .leader_load import LeaderLoad
from .leadership import LeadershipLostError
from .machine_inventory import MachineInventory
from .poll_rate_limiter import PollRateLimiter
from .pool_load import measure_pools
from .pool_rebalancer import PoolRebalancer
from .retention import Retention
from .rtt_estimator import RttEstimator
from .run_expiry import find_last_expiry
from .start_log import log_skipped_starts
from .unsettled_calls import UnsettledCalls
from .vm_drainer import VmDrainer
from .vm_link import REMOVE_AFTER_S, VmLink
from .wave_executor import WaveExecutor

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from .advice_calls import AdviceCalls
    from .leadership import Leadership
    from .machine_calls import MachineCalls
    from .platform_limits import PlatformLimits
    from .pool_load import PoolLoad
    from .worker_calls import WorkerCalls

SUPERVISION_INTERVAL_S = 0.1
LOAD_REPORT_INTERVAL_S = 1.0
# A hold is renewed in each supervision interval for as long as its reason lasts.
UNCERTAIN_HOLD_S = 3 * SUPERVISION_INTERVAL_S


class LeaderController:
    """Supervises the links to all VMs and the control loops of a leader.

    Attributes:
        leadership: Term in which this process leads.
        calls: Client of worker VMs.
        limits: Limits that the platform sets.
        links: Links to VMs, by VM ID.
        departed: Boots of VMs that have departed.
        dispatcher: Places tasks.
        admission: Refuses jobs that cannot end in time.
        advice: Requests the tickets of steps whose queue has an advisor.
        drainer: Drains VMs.
        waves: Carries out maintenance waves.
        scale: Ratio of actual to declared run durations.
        rebalancer: Moves machines between pools.
        durations: Distribution of the ratio of actual to declared run durations.
        ratings: Ratings of VMs by the ends of their runs.
        losses: Losses of contact with VMs.
        boot_counts: Boots of VMs that were noticed in this term.
        poll_limiter: Limits the rate of polls over all VMs.
        interference: Learns which pairs of images disturb each other.
        rtt_estimator: Estimates how long a VM takes to answer an order.
        acknowledging_polls: Polls that acknowledge ends, got no answer, and may still be carried out.
        leased_calls: Calls with a lease that got no answer and that a VM may still carry out.
        late_starts: Copies of starts that got no answer and that a VM may still carry out.
        retention: Finds ended workflows whose records may be deleted.
        tasks: Asyncio tasks that run the links, by VM ID.
        machine_use: Machine time in pools and work of this term.
        counters: Numbers of scheduling decisions of this term, by name; exposed as metrics.
        load: Load of this process since the last report.
        load_reported_at: Local time of the last load report.
    """

    __slots__ = (
        "acknowledging_polls",
        "admission",
        "advice",
        "boot_counts",
        "calls",
        "counters",
        "departed",
        "dispatcher",
        "drainer",
        "durations",
        "interference",
        "late_starts",
        "leadership",
        "leased_calls",
        "limits",
        "links",
        "load",
        "load_reported_at",
        "losses",
        "machine_use",
        "poll_limiter",
        "ratings",
        "rebalancer",
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
        uses_interference: bool = True,
    ) -> None:
        self.leadership = leadership
        self.calls = calls
        self.limits = limits
        self.links: dict[str, VmLink] = {}
        self.load_reported_at = float("-inf")
        self.tasks: dict[str, asyncio.Task[None]] = {}
        self.counters: Counter[str] = Counter()
        self.load = LeaderLoad(clock=leadership.clock, counters=self.counters)
        self.ratings = VmRatings()
        self.losses = ContactLosses()
        self.boot_counts = BootCounts()
        self.departed = DepartedBoots(clock=leadership.clock)
        self.durations = DurationQuantiles()
        self.machine_use = MachineUse()
        self.scale = DurationScale()
        self.poll_limiter = PollRateLimiter()
        self.interference = InterferenceModel(is_enabled=uses_interference, counters=self.counters)
        self.rtt_estimator = RttEstimator()
        self.late_starts = LateStarts()
        self.leased_calls = UnsettledCalls()
        self.acknowledging_polls = UnsettledCalls()
        self.retention = Retention(retention_s=limits.status_s)
        self.dispatcher = Dispatcher(
            leadership=leadership,
            links=self.links,
            counters=self.counters,
            ratings=self.ratings,
            durations=self.durations,
            interference=self.interference,
        )
        self.advice = AdviceFetcher(
            state=leadership.state,
            calls=advisor,
            tickets=self.dispatcher.tickets,
            clock=leadership.clock,
            wall_ms=wall_ms,
            list_free_capacity=self.dispatcher.list_free_capacity,
            on_tickets=self.dispatcher.changed.set,
        )
        self.drainer = VmDrainer(leadership=leadership, links=self.links, dispatcher=self.dispatcher)
        machine_inventory = MachineInventory(
            leadership=leadership,
            calls=machines,
            machine_lease_s=limits.machine_lease_s,
            min_down_s=min(limits.move_s, limits.maintenance_s),
        )
        self.rebalancer = PoolRebalancer(
            leadership=leadership,
            calls=machines,
            machines=machine_inventory,
            drainer=self.drainer,
            scale=self.scale,
            move_s=limits.move_s,
            orders_per_s=limits.machine_orders_per_s,
            counters=self.counters,
        )
        self.admission = AdmissionControl(
            leadership=leadership,
            links=self.links,
            scale=self.scale,
            list_arriving=self.rebalancer.list_arrivals_ms,
            counters=self.counters,
        )
        self.waves = WaveExecutor(
            leadership=leadership,
            calls=machines,
            machines=machine_inventory,
            drainer=self.drainer,
            maintenance_s=limits.maintenance_s,
        )

    async def run(self) -> None:
        """Runs all control loops, and restarts those that fail, until the term ends.

        Nothing that fails ends the run while the term goes on. What is known of orders without an answer would be lost: a
        later controller of the same term takes them for answered.
        """
        self.leadership.state.on_change = self.dispatcher.changed.set
        self.leadership.state.on_starts_skipped = log_skipped_starts
        running: dict[str, asyncio.Task[None]] = {}
        try:
            while self.leadership.holds:
                await _run_until_lost("supervision", self._supervise(running))
                if self.leadership.holds:
                    await asyncio.sleep(SUPERVISION_INTERVAL_S)
            log_event(Event.DECISIONS_STOPPED, term=self.leadership.term, reason="the term has ended")
        finally:
            self.leadership.state.on_change = None
            self.leadership.state.on_starts_skipped = None
            for task in (*running.values(), *self.tasks.values(), *self.dispatcher.sending):
                task.cancel()

    async def _supervise(self, running: dict[str, asyncio.Task[None]]) -> None:
        """Restarts control loops and links that have ended, and reports, until the term ends; proposes nothing itself."""
        loops = {
            "dispatcher": self.dispatcher.run,
            "waves": self.waves.run,
            "pools": self.rebalancer.run,
            "records": self._delete_records,
            "advice": self.advice.run,
            "loop lag": self.load.meter.run,
        }
        while self.leadership.holds:
            for name, work in loops.items():
                if name not in running or running[name].done():
                    running[name] = asyncio.create_task(
                        _run_until_lost(name, self._decide_when_applied(work))
                    )
            self._sync_links()
            self._drain_vms()
            self._report_load()
            self._report_interference()
            self.admission.report_accuracy()
            await asyncio.sleep(SUPERVISION_INTERVAL_S)

    async def _delete_records(self) -> None:
        """Deletes the records of silent VMs and of workflows that ended long ago, until the term ends."""
        while self.leadership.holds:
            await self._remove_silent_vms()
            await self._delete_expired_workflows()
            await asyncio.sleep(SUPERVISION_INTERVAL_S)

    async def _decide_when_applied(self, work: Callable[[], Awaitable[None]]) -> None:
        """Runs a control loop that may have ended on a command which was not confirmed in time.

        The loop must not decide again from a state that lacks the command. Links to VMs do not wait: they renew leases, and
        a repeated end changes nothing.
        """
        await self.leadership.wait_until_applied()
        await work()

    async def handle_announcement(self, command: RegisterVm) -> None:
        """Handles the announcement of a VM; proposes a command only when something changed."""
        link = self.links.get(command.vm)
        if link is not None:
            link.heard_at = self.leadership.clock()
        current = self.leadership.state.tables.vms.get(command.vm)
        if current is None and self.departed.is_late(command):
            reason = f"boot {command.boot} has departed since"
            log_event(Event.INPUT_REFUSED, method="announcement", path=command.vm, reason=reason)
            return
        if current is not None and _is_unchanged(current, command):
            self._record_announcement(command)
            return
        is_later_boot = current is not None and command.boot > current.boot
        if link is not None and is_later_boot and link.in_contact(self.leadership.clock()):
            # A VM that has restarted answers with its new boot or not at all, and announces itself again. Until it
            # answers, it gets no task.
            link.other_boot_announced_at = self.leadership.clock()
            link.confirm_boot()
            reason = f"boot {command.boot} is announced while boot {link.boot} answers"
            log_event(Event.INPUT_REFUSED, method="announcement", path=command.vm, reason=reason)
            return
        log_event(
            Event.VM_ANNOUNCED,
            vm=command.vm,
            pool=command.pool,
            address=command.address,
            draining=command.draining,
        )
        if current is not None and is_later_boot:
            self._sync_links()  # the term may have just begun
            await self.links[command.vm].boots.replace(command, replaced_boot=current.boot)
        else:
            await self.leadership.propose(command)
        self._sync_links()
        self._record_announcement(command)

    def _record_announcement(self, command: RegisterVm) -> None:
        record = self.leadership.state.tables.vms.get(command.vm)
        link = self.links.get(command.vm)
        if link is None or record is None:
            return
        if (command.boot, command.sequence) >= (record.boot, record.sequence):
            link.announced_at = self.leadership.clock()

    async def handle_departure(self, *, vm: str) -> None:
        """Handles the departure of a VM and removes its record, unless runs are in progress or about to start there.

        A departure carries no boot number. One of an earlier boot may arrive when the VM works again under its ID, or is
        only silent; a boot announces that it is draining before it departs. If that announcement was lost, the runs of the
        VM end with its lease. A VM works on until it has the answer, and for some seconds if that is lost, so runs that are
        in progress go on until the VM refuses connections or its lease has ended.
        """
        current = self.leadership.state.tables.vms.get(vm)
        link = self.links.get(vm)
        is_working = link is not None and link.in_contact(self.leadership.clock())
        is_empty = self.drainer.is_empty(vm)
        if current is not None and (is_working or not is_empty) and not current.draining:
            reason = "the VM is not draining, and answers or has runs in progress"
            log_event(Event.INPUT_REFUSED, method="departure", path=vm, reason=reason)
            return
        if current is not None:
            self.departed.record(current)
        if current is not None and not is_empty:
            self._sync_links()
            self.links[vm].is_departing = True
        elif current is not None:
            log_event(Event.VM_GONE, vm=vm, reason="it announced its departure")
            await self.leadership.propose(RemoveVm(vm=vm, boot=current.boot, at_ms=wall_ms()))

    def _sync_links(self) -> None:
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
                    interference=self.interference,
                    tickets=self.dispatcher.tickets,
                    on_change=self.dispatcher.changed.set,
                    ratings=self.ratings,
                    durations=self.durations,
                    counters=self.counters,
                    late_starts=self.late_starts,
                    leased_calls=self.leased_calls,
                    acknowledging_polls=self.acknowledging_polls,
                    losses=self.losses,
                    boot_counts=self.boot_counts,
                )
            self.tasks[vm_id] = asyncio.create_task(_run_until_lost(f"VM {vm_id}", link.run()))
        for vm_id in set(self.links) - set(self.leadership.state.tables.vms):
            del self.links[vm_id]
            self.tasks.pop(vm_id).cancel()
            self.late_starts.discard_expired(now=self.leadership.clock())
            self.leased_calls.discard_expired(now=self.leadership.clock())
            self.acknowledging_polls.discard_expired(now=self.leadership.clock())

    def _drain_vms(self) -> None:
        self.drainer.cordon_draining()
        for vm_id in self.waves.machines.list_uncertain_vms():
            self.drainer.hold(vm_id, seconds=UNCERTAIN_HOLD_S)
        if self.leadership.may_order():
            self.drainer.evict_runs()

    def _report_load(self) -> None:
        now = self.leadership.clock()
        if now - self.load_reported_at < LOAD_REPORT_INTERVAL_S:
            return
        self.load_reported_at = now
        self.load.report()
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
        self._report_machine_use(loads, now=now)

    def _report_machine_use(self, loads: dict[str, PoolLoad], *, now: float) -> None:
        document = self.leadership.state.tables.document
        paid_pools = (
            {pool.name for pool in document.pools if not pool.standby} if document is not None else set()
        )
        machines = Counter(
            machine.pool
            for machine in self.rebalancer.machines.machines.values()
            if machine.pool in paid_pools
        )
        if not machines:
            return  # no standby pool, so that the machines are not listed
        busy_millis = sum(load.long_running_millis + load.short_millis for load in loads.values())
        use = self.machine_use
        use.add(machines=machines.total(), cores=busy_millis / 1000, now=now)
        self.counters["machine_seconds_in_pools"] = round(use.machine_s)
        self.counters["work_core_seconds"] = round(use.core_s)
        log_event(
            Event.MACHINE_USE,
            machines=machines.total(),
            machine_seconds=round(use.machine_s),
            moves=self.counters["machine_moves"],
            core_seconds=round(use.core_s),
            by_pool=dict(sorted(machines.items())),
        )

    def _report_interference(self) -> None:
        for serving, best_effort, pair in self.interference.take_new_findings(self.leadership.clock()):
            log_event(
                Event.INTERFERENCE_FOUND,
                serving=serving,
                best_effort=best_effort,
                factor=round(exp(pair.rise), 2),
                confidence=round(pair.confidence, 1),
                readings=round(pair.readings, 1),
                percent=pair.percent,
                used=self.interference.is_enabled,
            )

    async def _delete_expired_workflows(self) -> None:
        workflows = self.leadership.state.tables.workflows
        expired = self.retention.find_expired(workflows, now=self.leadership.clock())
        if expired:
            await self.leadership.propose(DeleteWorkflows(workflow_ids=expired))
            log_event(Event.WORKFLOWS_FORGOTTEN, count=len(expired), left=len(workflows))

    async def _remove_silent_vms(self) -> None:
        now = self.leadership.clock()
        for vm_id, link in list(self.links.items()):
            record = link.record
            if (
                record is not None
                and now - link.heard_at > REMOVE_AFTER_S
                and now > find_last_expiry(link, record)
            ):
                reason = f"no contact for {now - link.heard_at:.1f} s"
                heard_at = link.heard_at
                await link.boots.end(reason=reason)
                if link.heard_at == heard_at:  # else it may have got runs since
                    await self.leadership.propose(RemoveVm(vm=vm_id, boot=record.boot, at_ms=wall_ms()))


async def _run_until_lost(name: str, work: Awaitable[None]) -> None:
    try:
        await work
    except LeadershipLostError as error:
        log_event(Event.TASK_ENDED, task=name, reason=str(error))
    except Exception as error:
        # LeaderController.run restarts the task.
        log_event(Event.TASK_FAILED, task=name, error=repr(error))


def _is_unchanged(current: object, command: RegisterVm) -> bool:
    fields = ("boot", "address", "pool", "zone", "labels", "capacity", "draining")
    return all(getattr(current, field) == getattr(command, field) for field in fields)


__all__ = ["LeaderController"]

"""Executes planned stops, moves and zone changes while this daemon leads."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from hyssopway.control.apply.budgets import find_broken_budget
from hyssopway.control.apply.waves import is_active
from hyssopway.control.command import (
    AdvanceWave,
    ChangeVm,
    ControlWave,
    MoveVm,
    RecordDrainQuestion,
    SetZone,
    TakePermit,
)
from hyssopway.control.record import WaveVmStatus
from hyssopway.event import Event, log_event

from .demand import Demand, count_waiting_cores
from .drains import decide_moves, find_overdue_drains
from .lending import decide_lending
from .wave_order import forecast_overrun_ms
from .waves import decide_waves
from .zone_steps import decide_zones

if TYPE_CHECKING:
    from collections.abc import Callable

    from hyssopway.clock import Clock
    from hyssopway.control.command import ReturnPermit
    from hyssopway.replica import Replica, Submitter

    from .rebooter import Rebooter

CONTROL_INTERVAL_S = 0.5
SUBMIT_TIMEOUT_S = 2.0


class FleetController:
    """Control loop that reads the replicated state and proposes the next steps.

    Everything that must survive a change of leader is in the replicated state.

    Attributes:
        replica: Replicated state.
        submitter: Submits commands to the replicated state.
        leads: Returns whether this daemon leads.
        rebooter: Reboots VMs through the platform; None without a platform, in which case waves do not advance.
        clock: Monotonic seconds.
        now_ms: Returns the cluster time in milliseconds.
        unconfirmed_questions: VM and start of the overdue drains whose question was submitted by this daemon
            but is not yet seen in the replicated state.
        reported_late: Waves that were reported as late.
        demand: Smoothed demand of pools; kept in memory only.
        last_return_ms: Cluster time of the last return step by zone.
        reported_broken_budget: Budget that was last reported as exceeded by failures alone.
    """

    __slots__ = (
        "clock",
        "demand",
        "last_return_ms",
        "leads",
        "now_ms",
        "rebooter",
        "replica",
        "reported_broken_budget",
        "reported_late",
        "submitter",
        "unconfirmed_questions",
    )

    def __init__(
        self,
        *,
        replica: Replica,
        submitter: Submitter,
        leads: Callable[[], bool],
        clock: Clock,
        now_ms: Callable[[], int],
        rebooter: Rebooter | None = None,
    ) -> None:
        self.replica = replica
        self.submitter = submitter
        self.leads = leads
        self.clock = clock
        self.now_ms = now_ms
        self.rebooter = rebooter
        self.demand = Demand()
        self.last_return_ms: dict[str, int] = {}
        self.unconfirmed_questions: set[tuple[str, int]] = set()
        self.reported_late: set[str] = set()
        self.reported_broken_budget = ""

    async def run(self) -> None:
        """Runs control rounds for as long as the daemon runs."""
        while True:
            if self.leads():
                await self.control_once()
            else:
                self._stop_rebooter()
            await asyncio.sleep(CONTROL_INTERVAL_S)

    async def control_once(self) -> None:
        """Runs one control round."""
        state = self.replica.state
        await asyncio.gather(*(self._submit(command) for command in decide_moves(state)))
        await self._advance_waves()
        await self._advance_zones()
        await self._lend()
        await self._ask_operator()
        self._report_late_waves()
        self._report_broken_budget()

    def _stop_rebooter(self) -> None:
        if self.rebooter is not None:
            self.rebooter.stop()

    async def _advance_waves(self) -> None:
        if self.rebooter is None:
            return
        state = self.replica.state
        self.rebooter.reconcile(state)
        steps = decide_waves(state, now_ms=self.now_ms(), returned=self.rebooter.returned)
        await asyncio.gather(*(self._submit_step(step) for step in steps))

    async def _advance_zones(self) -> None:
        state = self.replica.state
        steps = decide_zones(state, now_ms=self.now_ms(), last_return_ms=self.last_return_ms)
        for step in steps:
            result = await self.submitter.submit(step, timeout_s=SUBMIT_TIMEOUT_S)
            if isinstance(step, TakePermit) and result.is_error():
                log_event(Event.PERMIT_REFUSED, vm=step.vm, reason=result.error.message)
            if isinstance(step, SetZone) and result.is_ok():
                log_event(Event.ZONE_CHANGED, zone=step.zone, status=step.status)
            if isinstance(step, MoveVm) and result.is_ok():
                source = state.tables.vms[step.vm].moved_from
                log_event(Event.VM_MOVED, vm=step.vm, source=source, target=step.target, reason=step.reason)

    async def _lend(self) -> None:
        self.demand.add_sample(waiting=count_waiting_cores(self.replica.state), now=self.clock())
        for command in decide_lending(self.replica.state, demand=self.demand):
            await self.submitter.submit(command, timeout_s=SUBMIT_TIMEOUT_S)

    async def _submit_step(self, step: AdvanceWave | ControlWave) -> None:
        result = await self.submitter.submit(step, timeout_s=SUBMIT_TIMEOUT_S)
        match step:
            case ControlWave() if result.is_ok():
                log_event(Event.WAVE_CHANGED, wave=step.wave, status="paused", reason=step.reason)
            case AdvanceWave() if result.is_ok():
                log_event(Event.WAVE_ADVANCED, wave=step.wave, vm=step.vm, status=step.status)
            case AdvanceWave(status=WaveVmStatus.DRAINING):
                log_event(Event.PERMIT_REFUSED, vm=step.vm, reason=result.error.message)

    async def _submit(self, command: ChangeVm | MoveVm | ReturnPermit) -> None:
        source = self.replica.state.tables.vms[command.vm].pool
        # A refusal means that the state has changed meanwhile; the next round decides again.
        result = await self.submitter.submit(command, timeout_s=SUBMIT_TIMEOUT_S)
        if result.is_error():
            return
        match command:
            case ChangeVm():
                log_event(Event.VM_STATE_CHANGED, vm=command.vm, state=command.state, reason=command.reason)
            case MoveVm():
                log_event(
                    Event.VM_MOVED, vm=command.vm, source=source, target=command.target, reason=command.reason
                )

    async def _ask_operator(self) -> None:
        """Asks the operator once about each overdue drain, also across changes of the leader."""
        overdue = find_overdue_drains(self.replica.state, now_ms=self.now_ms())
        self.unconfirmed_questions &= {(permit.vm, permit.at_ms) for permit in overdue}
        for permit in overdue:
            key = (permit.vm, permit.at_ms)
            if not permit.asked:
                # The reply may be lost after the command was committed; a later round then finds the record.
                self.unconfirmed_questions.add(key)
                await self.submitter.submit(
                    RecordDrainQuestion(vm=permit.vm, holder=permit.holder, at_ms=permit.at_ms),
                    timeout_s=SUBMIT_TIMEOUT_S,
                )
            if permit.asked and key in self.unconfirmed_questions:
                self.unconfirmed_questions.discard(key)
                question = (
                    f"its work does not end; keep waiting or stop the work? POST /v1/vms/{permit.vm}/decision"
                )
                log_event(Event.OPERATOR_NEEDED, subject=f"VM {permit.vm}", question=question)

    def _report_late_waves(self) -> None:
        """Reports, once per term as leader, each wave that will miss its deadline."""
        state = self.replica.state
        late = {
            wave.wave_id: late_ms
            for wave in state.tables.waves.values()
            if is_active(wave) and (late_ms := forecast_overrun_ms(state, wave=wave, now_ms=self.now_ms()))
        }
        for wave_id in sorted(late.keys() - self.reported_late):
            question = (
                f"the wave will end {late[wave_id] / 1000:.0f} s after period_s; "
                "raise budgets or period_s, or accept the delay?"
            )
            log_event(Event.OPERATOR_NEEDED, subject=wave_id, question=question)
        self.reported_late = set(late)

    def _report_broken_budget(self) -> None:
        broken = find_broken_budget(self.replica.state)
        if broken and broken != self.reported_broken_budget:
            log_event(Event.BUDGET_BROKEN, reason=broken)
        if self.reported_broken_budget and not broken:
            log_event(Event.BUDGET_RESTORED)
        self.reported_broken_budget = broken


__all__ = ["FleetController"]

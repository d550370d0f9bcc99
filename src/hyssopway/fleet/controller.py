"""Carries planned stops through while this daemon leads."""

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

ROUND_S = 0.5
SUBMIT_TIMEOUT_S = 2.0


class FleetController:
    """One task that looks at the agreed state and proposes the next steps.

    Everything that must survive a change of leader is in the agreed state.

    Attributes:
        replica: Agreed state.
        submitter: Way to the agreed state.
        leads: Tells whether this daemon leads.
        rebooter: Has the platform reboot VMs; None without a platform, and waves do not start then.
        clock: Monotonic seconds.
        now_ms: Returns agreed time.
        asking: Questions about drains whose record is on its way, by VM and start.
        late: Waves that were reported as late.
        demand: Demand of pools; soft state.
        last_return_ms: Time of the last return step by zone.
        broken: Budget that failures alone exceed, as reported last.
    """

    __slots__ = (
        "asking",
        "broken",
        "clock",
        "demand",
        "last_return_ms",
        "late",
        "leads",
        "now_ms",
        "rebooter",
        "replica",
        "submitter",
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
        self.asking: set[tuple[str, int]] = set()
        self.late: set[str] = set()
        self.broken = ""

    async def run(self) -> None:
        """Controls for as long as the daemon runs."""
        while True:
            if self.leads():
                await self.control_once()
            else:
                self._rest()
            await asyncio.sleep(ROUND_S)

    async def control_once(self) -> None:
        """Makes one round."""
        state = self.replica.state
        await asyncio.gather(*(self._submit(command) for command in decide_moves(state)))
        await self._advance_waves()
        await self._advance_zones()
        await self._lend()
        await self._ask_operator()
        self._report_late()
        self._report_broken()

    def _rest(self) -> None:
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
        # A refusal means that the state has moved on; the next round looks at it again.
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
        """Asks once about each overdue drain, over all leaders."""
        overdue = find_overdue_drains(self.replica.state, now_ms=self.now_ms())
        self.asking &= {(permit.vm, permit.at_ms) for permit in overdue}
        for permit in overdue:
            key = (permit.vm, permit.at_ms)
            if not permit.asked:
                # The answer may be lost after the record was agreed; the next round then finds it.
                self.asking.add(key)
                await self.submitter.submit(
                    RecordDrainQuestion(vm=permit.vm, holder=permit.holder, at_ms=permit.at_ms),
                    timeout_s=SUBMIT_TIMEOUT_S,
                )
            if permit.asked and key in self.asking:
                self.asking.discard(key)
                question = (
                    f"its work does not end; wait on, or have it stopped? POST /v1/vms/{permit.vm}/decision"
                )
                log_event(Event.OPERATOR_NEEDED, subject=f"VM {permit.vm}", question=question)

    def _report_late(self) -> None:
        """Tells operators once in a leadership that a wave will miss its deadline."""
        state = self.replica.state
        late = {
            wave.wave_id: late_ms
            for wave in state.tables.waves.values()
            if is_active(wave) and (late_ms := forecast_overrun_ms(state, wave=wave, now_ms=self.now_ms()))
        }
        for wave_id in sorted(late.keys() - self.late):
            question = (
                f"it will end {late[wave_id] / 1000:.0f} s after period_s; "
                "raise budgets or period_s, or leave it late?"
            )
            log_event(Event.OPERATOR_NEEDED, subject=wave_id, question=question)
        self.late = set(late)

    def _report_broken(self) -> None:
        broken = find_broken_budget(self.replica.state)
        if broken and broken != self.broken:
            log_event(Event.BUDGET_BROKEN, reason=broken)
        if self.broken and not broken:
            log_event(Event.BUDGET_RESTORED)
        self.broken = broken


__all__ = ["FleetController"]

"""Carries out maintenance waves on behalf of one leader."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import TYPE_CHECKING

from hyssopway.clock import wall_ms
from hyssopway.event import Event, log_event
from hyssopway.workflow import BeginMaintenance, ConfirmMaintenance, RemoveVm

from .machine_calls import MachineCallError, MachineOrderResult, MachineState
from .wave_choice import Candidate, choose_machines

if TYPE_CHECKING:
    from hyssopway.workflow import WaveRecord

    from .leadership import Leadership
    from .machine_calls import Machine, MachineCalls
    from .machine_inventory import MachineInventory
    from .vm_drainer import VmDrainer

STEP_S = 0.2
IDLE_STEP_S = 0.5
LIST_S = 0.8
# A VM that still has short work after this long goes down with it.
MAX_DRAIN_S = 8.0


class WaveExecutor:
    """Empties machines and orders their maintenance.

    Attributes:
        leadership: The term.
        calls: Client of the platform.
        drainer: VMs that are being emptied.
        maintenance_s: Duration of a maintenance.
        machines: Machines as listed last.
    """

    __slots__ = (
        "calls",
        "drainer",
        "leadership",
        "machines",
        "maintenance_s",
    )

    def __init__(
        self,
        *,
        leadership: Leadership,
        calls: MachineCalls,
        machines: MachineInventory,
        drainer: VmDrainer,
        maintenance_s: float,
    ) -> None:
        self.leadership = leadership
        self.calls = calls
        self.drainer = drainer
        self.maintenance_s = maintenance_s
        self.machines = machines

    async def run(self) -> None:
        """Works on all waves until the term ends."""
        while self.leadership.holds:
            open_waves = [
                wave for wave in self.leadership.state.tables.waves.values() if not wave.is_complete
            ]
            if not open_waves:
                await asyncio.sleep(IDLE_STEP_S)
                continue
            if self.leadership.may_order():
                await self.machines.refresh(max_age_s=LIST_S)
                for wave in open_waves:
                    await self.advance(wave)
            await asyncio.sleep(STEP_S)

    async def advance(self, wave: WaveRecord) -> None:
        """Empties and orders the machines of a wave that may go now."""
        await self._confirm_gone(wave)
        await self._repeat_unconfirmed(wave)
        self._close_more(wave)
        for machine_id in wave.machines:
            machine = self.machines.machines.get(machine_id)
            if machine is None or machine_id in wave.begun or not self._is_emptied(machine):
                continue
            if len(self._down_of(wave)) < wave.max_down and self.machines.is_available(machine_id):
                await self._order(wave, machine=machine)

    def _is_emptied(self, machine: Machine) -> bool:
        if machine.vm_id not in self.leadership.state.tables.vms:
            return True  # it is switched off, or its VM has not announced itself and runs nothing
        closed_at = self.drainer.cordoned_at.get(machine.vm_id)
        if closed_at is None:
            return False
        emptying_s = self.leadership.clock() - closed_at
        if emptying_s >= MAX_DRAIN_S:
            return not self.drainer.has_long_running(machine.vm_id)
        return self.drainer.is_empty(machine.vm_id)

    def _down_of(self, wave: WaveRecord) -> set[str]:
        """Machines that may be down for this wave: begun, and not known to be back."""
        unconfirmed = set(wave.begun) - wave.confirmed
        known_down = {
            machine_id
            for machine_id in wave.begun
            if machine_id in self.machines.ordered or self._is_in_maintenance(machine_id)
        }
        return unconfirmed | known_down

    def _count_emptying(self, wave: WaveRecord) -> int:
        machines = (self.machines.machines.get(machine_id) for machine_id in wave.machines)
        return sum(machine is not None and machine.vm_id in self.drainer.cordoned_at for machine in machines)

    def _is_in_maintenance(self, machine_id: str) -> bool:
        machine = self.machines.machines.get(machine_id)
        return machine is not None and machine.state is MachineState.MAINTENANCE

    async def _confirm_gone(self, wave: WaveRecord) -> None:
        for machine_id in wave.machines:
            if machine_id not in wave.confirmed and self.machines.is_gone(machine_id):
                log_event(
                    Event.MAINTENANCE_ORDERED, machine=machine_id, wave=wave.number, result="machine is gone"
                )
                await self.leadership.propose(ConfirmMaintenance(wave=wave.number, machine=machine_id))

    async def _repeat_unconfirmed(self, wave: WaveRecord) -> None:
        for machine_id in sorted(set(wave.begun) - wave.confirmed):
            machine = self.machines.machines.get(machine_id)
            if machine is not None and self.machines.may_order(machine_id):
                await self._send(wave, machine=machine)

    def _close_more(self, wave: WaveRecord) -> None:
        tables = self.leadership.state.tables
        use = self.leadership.state.indexes.vm_usage
        waiting = self.drainer.dispatcher.waiting_millis
        pending = [
            machine
            for machine_id in wave.machines
            if (machine := self.machines.machines.get(machine_id)) is not None
            and machine_id not in wave.begun
            and self.machines.is_available(machine_id)
            and machine.vm_id in tables.vms
            and machine.vm_id not in self.drainer.cordoned_at
        ]
        candidates = [
            Candidate(
                machine_id=machine.machine_id,
                vm_id=machine.vm_id,
                pool=machine.pool,
                busy_millis=use[machine.vm_id].cpu_millis if machine.vm_id in use else 0,
                waiting_millis=waiting.get(machine.pool, 0),
            )
            for machine in pending
        ]
        closed = Counter(tables.vms[vm_id].pool for vm_id in self.drainer.cordoned_at if vm_id in tables.vms)
        down = self._down_of(wave)
        for machine_id in down:
            if machine_id in self.machines.machines:
                closed[self.machines.machines[machine_id].pool] += 1
        self.drainer.dispatcher.awaiting_maintenance = {machine.vm_id for machine in pending}
        chosen = choose_machines(
            candidates=candidates,
            pool_sizes=Counter(vm.pool for vm in tables.vms.values()),
            closed_by_pool=closed,
            room=wave.max_down - len(down) - self._count_emptying(wave),
            left_s=(wave.deadline_ms - wall_ms()) / 1000,
            max_down=wave.max_down,
        )
        for one in chosen:
            self.drainer.cordon(one.vm_id, reason=f"wave {wave.number}")

    async def _order(self, wave: WaveRecord, *, machine: Machine) -> None:
        command = BeginMaintenance(wave=wave.number, machine=machine.machine_id, at_ms=wall_ms())
        await self.leadership.propose(command)
        await self._send(wave, machine=machine)

    async def _send(self, wave: WaveRecord, *, machine: Machine) -> None:
        if not self.leadership.may_order():
            return
        try:
            result = await self.calls.order_maintenance(
                machine_id=machine.machine_id,
                wave=wave.number,
                fencing_token=self.leadership.term,
                may_send=self.leadership.may_order,
            )
        except MachineCallError as error:
            log_event(Event.PLATFORM_FAILED, call="order_maintenance", error=str(error))
            return
        log_event(Event.MAINTENANCE_ORDERED, machine=machine.machine_id, wave=wave.number, result=str(result))
        match result:
            case MachineOrderResult.DONE:
                self.machines.note_order(machine.machine_id, duration_s=self.maintenance_s)
                await self._confirm(wave, machine=machine)
            case MachineOrderResult.GONE | MachineOrderResult.NOT_DUE:
                await self._confirm(wave, machine=machine)
            case MachineOrderResult.BUSY | MachineOrderResult.FENCED:
                pass  # asked again in the next step

    async def _confirm(self, wave: WaveRecord, *, machine: Machine) -> None:
        await self.leadership.propose(ConfirmMaintenance(wave=wave.number, machine=machine.machine_id))
        record = self.leadership.state.tables.vms.get(machine.vm_id)
        if record is not None:
            await self.leadership.propose(RemoveVm(vm=record.vm_id, boot=record.boot, at_ms=wall_ms()))
        self.drainer.uncordon(machine.vm_id)


__all__ = ["WaveExecutor"]

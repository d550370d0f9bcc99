"""Carries out maintenance waves on behalf of one leader."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import TYPE_CHECKING

from hyssopway.clock import wall_ms
from hyssopway.event import Event, log_event
from hyssopway.workflow import BeginMaintenance, ConfirmMaintenance, RemoveVm

from .machine_calls import MachineCallError, MachineOrderResult, MachineState
from .wave_choice import WaveCandidate, select_machines

if TYPE_CHECKING:
    from hyssopway.workflow import WaveRecord

    from .leadership import Leadership
    from .machine_calls import Machine, MachineCalls
    from .machine_inventory import MachineInventory
    from .vm_drainer import VmDrainer

INTERVAL_S = 0.2
IDLE_INTERVAL_S = 0.5
MAX_LIST_AGE_S = 0.8
# A VM that still runs short tasks after this long goes into maintenance nevertheless, which ends them.
MAX_DRAIN_S = 8.0


class WaveExecutor:
    """Drains the machines of open waves and orders their maintenance.

    Attributes:
        leadership: Term on whose behalf maintenance is ordered.
        calls: Client of the platform.
        drainer: Cordons the VMs of the machines and stops their runs.
        maintenance_s: Duration of the maintenance of a machine in seconds.
        machines: Machines as the platform lists them.
        awaiting: IDs of VMs whose machine still waits for its maintenance, of the open waves advanced so far.
        cordoned_for: Number of the wave for which each VM was cordoned, by VM ID.
    """

    __slots__ = (
        "awaiting",
        "calls",
        "cordoned_for",
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
        self.cordoned_for: dict[str, int] = {}
        self.awaiting: set[str] = set()

    async def run(self) -> None:
        """Advances all open waves periodically until the term ends."""
        while self.leadership.holds:
            self.release_vms()
            open_waves = [
                wave for wave in self.leadership.state.tables.waves.values() if not wave.is_complete
            ]
            if not open_waves:
                self.drainer.dispatcher.awaiting_maintenance = set()
                await asyncio.sleep(IDLE_INTERVAL_S)
                continue
            if self.leadership.may_order():
                await self.machines.refresh(max_age_s=MAX_LIST_AGE_S)
                self.awaiting = set()
                for wave in open_waves:
                    await self.advance(wave)
                self.drainer.dispatcher.awaiting_maintenance = self.awaiting
            await asyncio.sleep(INTERVAL_S)

    async def advance(self, wave: WaveRecord) -> None:
        """Drains further machines of a wave and orders the maintenance of those that are drained."""
        await self._confirm_gone_machines(wave)
        await self._repeat_unconfirmed_orders(wave)
        self._cordon_more(wave)
        for machine_id in wave.machines:
            machine = self.machines.machines.get(machine_id)
            if machine is None or machine_id in wave.begun or not self._is_drained(machine):
                continue
            if len(self._find_down(wave)) < wave.max_down and self.machines.is_available(machine_id):
                await self._begin_maintenance(wave, machine=machine)

    def release_vms(self) -> None:
        """Uncordons the VMs that a wave that is complete has left cordoned.

        A machine that was missing from the list counts as gone, and its VM may still be in service.
        """
        tables = self.leadership.state.tables
        for vm_id, number in list(self.cordoned_for.items()):
            wave = tables.waves.get(number)
            if vm_id not in self.drainer.cordoned_at:
                del self.cordoned_for[vm_id]
            elif wave is None or wave.is_complete:
                del self.cordoned_for[vm_id]
                self.drainer.uncordon(vm_id)

    def _cordon(self, vm_id: str, *, wave: WaveRecord) -> None:
        if vm_id not in self.drainer.cordoned_at:
            self.cordoned_for[vm_id] = wave.number
        self.drainer.cordon(vm_id, reason=f"wave {wave.number}")

    def _is_drained(self, machine: Machine) -> bool:
        if machine.vm_id not in self.leadership.state.tables.vms:
            # The machine is off, or its VM has not registered and so has no runs. In an older list, another VM with
            # runs may have taken the place of the listed one.
            return self.machines.is_list_current()
        cordoned_at = self.drainer.cordoned_at.get(machine.vm_id)
        if cordoned_at is None:
            return False
        drain_s = self.leadership.clock() - cordoned_at
        if drain_s >= MAX_DRAIN_S:
            return not self.drainer.has_long_running(machine.vm_id)
        return self.drainer.is_empty(machine.vm_id)

    def _find_down(self, wave: WaveRecord) -> set[str]:
        """Returns the IDs of machines that may be down for a wave: maintenance has begun, and may not have ended."""
        unconfirmed = set(wave.begun) - wave.confirmed
        known_down = {
            machine_id
            for machine_id in wave.begun
            if machine_id in self.machines.ordered or self._is_in_maintenance(machine_id)
        }
        return unconfirmed | known_down

    def _count_draining(self, wave: WaveRecord) -> int:
        machines = (self.machines.machines.get(machine_id) for machine_id in wave.machines)
        return sum(machine is not None and machine.vm_id in self.drainer.cordoned_at for machine in machines)

    def _is_in_maintenance(self, machine_id: str) -> bool:
        machine = self.machines.machines.get(machine_id)
        return machine is not None and machine.state is MachineState.MAINTENANCE

    async def _confirm_gone_machines(self, wave: WaveRecord) -> None:
        for machine_id in wave.machines:
            if machine_id not in wave.confirmed and self.machines.is_gone(machine_id):
                log_event(
                    Event.MAINTENANCE_ORDERED, machine=machine_id, wave=wave.number, result="machine is gone"
                )
                await self.leadership.propose(ConfirmMaintenance(wave=wave.number, machine=machine_id))

    async def _repeat_unconfirmed_orders(self, wave: WaveRecord) -> None:
        for machine_id in sorted(set(wave.begun) - wave.confirmed):
            machine = self.machines.machines.get(machine_id)
            if machine is None:
                continue
            if machine.state is MachineState.UP and machine.vm_id in self.leadership.state.tables.vms:
                # The order may not have been carried out. Its VM gets runs again after a change of leader.
                self._cordon(machine.vm_id, wave=wave)
            if self.machines.may_order(machine_id) and self._may_end_runs(machine):
                await self._send_order(wave, machine=machine, is_repeated=True)

    def _may_end_runs(self, machine: Machine) -> bool:
        """Returns whether an order for a machine ends no run that must not end with it."""
        return machine.state is not MachineState.UP or self._is_drained(machine)

    def _cordon_more(self, wave: WaveRecord) -> None:
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
            WaveCandidate(
                machine_id=machine.machine_id,
                vm_id=machine.vm_id,
                pool=machine.pool,
                busy_millis=use[machine.vm_id].cpu_millis if machine.vm_id in use else 0,
                waiting_millis=waiting.get(machine.pool, 0),
                long_running=use[machine.vm_id].long_running if machine.vm_id in use else 0,
            )
            for machine in pending
        ]
        unavailable = Counter(
            tables.vms[vm_id].pool for vm_id in self.drainer.cordoned_at if vm_id in tables.vms
        )
        down = self._find_down(wave)
        for machine_id in down:
            if machine_id in self.machines.machines:
                unavailable[self.machines.machines[machine_id].pool] += 1
        self.awaiting |= {machine.vm_id for machine in pending}
        selected = select_machines(
            candidates=candidates,
            pool_sizes=Counter(vm.pool for vm in tables.vms.values()),
            unavailable_by_pool=unavailable,
            max_added=wave.max_down - len(down) - self._count_draining(wave),
            remaining_s=(wave.deadline_ms - wall_ms()) / 1000,
            max_down=wave.max_down,
        )
        for candidate in selected:
            self._cordon(candidate.vm_id, wave=wave)

    async def _begin_maintenance(self, wave: WaveRecord, *, machine: Machine) -> None:
        command = BeginMaintenance(wave=wave.number, machine=machine.machine_id, at_ms=wall_ms())
        await self.leadership.propose(command)
        # A start may have been committed while the command was; the order is then repeated when the VM is drained.
        if self._is_drained(machine):
            await self._send_order(wave, machine=machine)

    async def _send_order(self, wave: WaveRecord, *, machine: Machine, is_repeated: bool = False) -> None:
        if not self.leadership.may_order():
            return
        if machine.vm_id:
            # A VM that registers or is uncordoned meanwhile gets no runs, which the order would end.
            self.drainer.hold(machine.vm_id, seconds=self.machines.machine_lease_s)
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
                self.machines.record_order(machine.machine_id, duration_s=self.maintenance_s)
                await self._confirm(wave, machine=machine)
                await self._remove_vm(machine, is_repeated=is_repeated)
                self.drainer.release(machine.vm_id)
            case MachineOrderResult.GONE | MachineOrderResult.NOT_DUE:
                # The order changed nothing. After a lost answer the machine may be up again, with a VM that has runs.
                await self._confirm(wave, machine=machine)
                self.drainer.uncordon(machine.vm_id)
                self.drainer.release(machine.vm_id)
            case MachineOrderResult.BUSY | MachineOrderResult.FENCED:
                pass  # ordered again in the next iteration

    async def _confirm(self, wave: WaveRecord, *, machine: Machine) -> None:
        await self.leadership.propose(ConfirmMaintenance(wave=wave.number, machine=machine.machine_id))

    async def _remove_vm(self, machine: Machine, *, is_repeated: bool) -> None:
        record = self.leadership.state.tables.vms.get(machine.vm_id)
        # The platform may mean an earlier copy of a repeated order. The machine is then up again, with runs that go on.
        may_be_in_service = is_repeated and not self.drainer.is_empty(machine.vm_id)
        if record is not None and not may_be_in_service:
            await self.leadership.propose(RemoveVm(vm=record.vm_id, boot=record.boot, at_ms=wall_ms()))
        self.drainer.uncordon(machine.vm_id)


__all__ = ["WaveExecutor"]

"""Budgets and pools stay correct under any order of drains, moves, withdrawals, failures and returns."""

from __future__ import annotations

from collections import Counter

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from small_fleet import BUDGET, small_fleet

from hyssopway.control.apply.waves import is_active
from hyssopway.control.command import (
    AdvanceWave,
    ChangeVm,
    ControlWave,
    DrainVm,
    MoveVm,
    RequestMove,
    ReturnVm,
    SetZone,
    StartWave,
    TakePermit,
    WaveAction,
)
from hyssopway.control.record import PermitPurpose, VmState, WaveStatus, WaveVmStatus, ZoneStatus

VMS = st.sampled_from([f"{pool}-{number}" for pool in ("web", "batch", "spare") for number in range(8)])
POOLS = st.sampled_from(["web", "batch", "spare"])


class FleetMachine(RuleBasedStateMachine):
    """Checks each permitted stop against a count of the VMs that were down before it."""

    def __init__(self):
        super().__init__()
        self.state_machine = small_fleet()
        self.pools = {name: vm.pool for name, vm in self.state_machine.state.tables.vms.items()}

    def apply_operator_command(self, kind, vm, **fields):
        """Applies an operator's command; returns whether it succeeded."""
        index = self.state_machine.state.applied_index
        common = {"vm": vm, "expected_epoch": self.state_machine.vm(vm).epoch, "operator": "kim"}
        return self.state_machine.apply(kind(**common, request_id=f"r{index}", **fields)).failure is None

    def stop(self, vm, request):
        """Requests a planned stop and checks that the budgets allowed it if it was permitted."""
        known = self.state_machine.vm(vm)
        vms = list(self.state_machine.state.tables.vms.values())
        down = [v for v in vms if v.state is not VmState.READY and v.pool == known.pool and v.name != vm]
        held_before = vm in self.state_machine.state.tables.permits
        granted = request()
        if not granted or held_before:
            return
        purpose = self.state_machine.state.tables.permits[vm].purpose
        assert len(down) < BUDGET["max_down"]
        if purpose is not PermitPurpose.WITHDRAWAL:
            assert not any((v.zone, v.rack) == (known.zone, known.rack) for v in down)
        else:
            assert self.state_machine.state.tables.zones[known.zone].status is ZoneStatus.WITHDRAWN
        failed = Counter(v.pool for v in vms if v.state is VmState.DOWN)
        assert max(failed.values(), default=0) <= BUDGET["max_down"]

    @rule(vm=VMS)
    def drain(self, vm):
        """An operator drains a VM."""
        self.stop(vm, lambda: self.apply_operator_command(DrainVm, vm))

    @rule(vm=VMS, pool=POOLS)
    def request_move(self, vm, pool):
        """An operator requests a move."""
        self.stop(vm, lambda: self.apply_operator_command(RequestMove, vm, target=pool))

    @rule(vm=VMS)
    def empty_for_withdrawal(self, vm):
        """The leader empties a VM of a withdrawn zone."""
        command = TakePermit(
            vm=vm,
            purpose=PermitPurpose.WITHDRAWAL,
            holder="withdrawal",
            expected_epoch=self.state_machine.vm(vm).epoch,
        )
        self.stop(vm, lambda: self.state_machine.apply(command).failure is None)

    @rule(vm=VMS, state=st.sampled_from(list(VmState)))
    def change(self, vm, state):
        """A VM fails, returns or reports a state."""
        epoch = self.state_machine.vm(vm).epoch
        self.state_machine.apply(ChangeVm(vm=vm, state=state, expected_epoch=epoch, reason="rule"))

    @rule(vm=VMS, pool=POOLS)
    def move(self, vm, pool):
        """The leader moves a VM."""
        known = self.state_machine.vm(vm)
        before = self.count_down(pool)
        command = MoveVm(vm=vm, target=pool, expected_epoch=known.epoch, reason="rule")
        if self.state_machine.apply(command).failure is None:
            self.pools[vm] = pool
            assert self.count_down(pool) <= max(before, BUDGET["max_down"])

    def select_vm(self, state, number):
        """Returns a VM in a state; a random VM would seldom be in the state that a later step needs."""
        names = sorted(vm.name for vm in self.state_machine.state.tables.vms.values() if vm.state is state)
        return names[number % len(names)] if names else None

    @rule(number=st.integers(0, 7))
    def empty(self, number):
        """A home reports that a draining VM is empty."""
        vm = self.select_vm(VmState.DRAINING, number)
        if vm:
            self.change(vm, VmState.DRAINED)

    @rule(number=st.integers(0, 7), pool=POOLS)
    def move_empty(self, number, pool):
        """The leader moves an empty VM."""
        vm = self.select_vm(VmState.DRAINED, number)
        if vm:
            self.move(vm, pool)

    @rule(number=st.integers(0, 7), status=st.sampled_from(list(WaveVmStatus)))
    def advance_empty(self, number, status):
        """The leader moves an empty or rebooting VM to a step of the last wave."""
        vm = self.select_vm(VmState.DRAINED, number) or self.select_vm(VmState.REBOOTING, number)
        if vm:
            self.advance_wave(vm, status, vm)

    @rule(vm=VMS)
    def return_vm(self, vm):
        """An operator returns a VM."""
        self.apply_operator_command(ReturnVm, vm)

    @rule(zone=st.sampled_from(["east", "west"]), status=st.sampled_from(list(ZoneStatus)))
    def set_zone(self, zone, status):
        """An operator withdraws or returns a zone."""
        index = self.state_machine.state.applied_index
        self.state_machine.apply(SetZone(zone=zone, status=status, request_id=f"z{index}", operator="kim"))

    @rule(pools=st.lists(POOLS, max_size=2, unique=True))
    def start_wave(self, pools):
        """An operator starts a wave."""
        waves = self.state_machine.state.tables.waves
        has_active_wave = any(is_active(wave) for wave in waves.values())
        index = self.state_machine.state.applied_index
        command = StartWave(pools=pools, request_id=f"w{index}", operator="kim")
        assert (self.state_machine.apply(command).failure is None) == (not has_active_wave)

    @rule(vm=VMS, status=st.sampled_from(list(WaveVmStatus)), replacement=VMS)
    def advance_wave(self, vm, status, replacement):
        """The leader, or a former one, moves a VM to a step of the last wave."""
        waves = list(self.state_machine.state.tables.waves.values())
        if not waves:
            return
        command = AdvanceWave(
            wave=waves[-1].wave_id,
            vm=vm,
            status=status,
            expected_epoch=self.state_machine.vm(vm).epoch,
            reason="rule",
            replacement=replacement,
        )
        stopped = replacement if status is WaveVmStatus.REPLACED else vm
        # Only these two steps take a permit; the others may return it.
        if status in (WaveVmStatus.DRAINING, WaveVmStatus.REPLACED):
            self.stop(stopped, lambda: self.state_machine.apply(command).failure is None)
        else:
            self.state_machine.apply(command)

    @rule(vm=VMS, boot=st.integers(0, 2))
    def sync(self, vm, boot):
        """A worker syncs, possibly as a new process."""
        known = self.state_machine.vm(vm)
        self.state_machine.register(
            vm, zone=known.zone, rack=known.rack, pool=known.pool, boot_id=f"boot-{boot}"
        )

    @rule(action=st.sampled_from(list(WaveAction)))
    def control_wave(self, action):
        """An operator pauses, resumes or aborts the last wave."""
        waves = list(self.state_machine.state.tables.waves.values())
        for wave in waves[-1:]:
            self.state_machine.apply(
                ControlWave(
                    request_id=f"c{self.state_machine.state.applied_index}",
                    operator="kim",
                    wave=wave.wave_id,
                    action=action,
                    expected_epoch=wave.epoch,
                )
            )

    def count_down(self, pool):
        """Counts the VMs of a pool that are not ready."""
        vms = self.state_machine.state.tables.vms.values()
        return sum(vm.pool == pool and vm.state is not VmState.READY for vm in vms)

    @invariant()
    def each_vm_is_in_the_pool_of_its_last_move(self):
        """Guards against a VM in two pools or in none."""
        assert {name: vm.pool for name, vm in self.state_machine.state.tables.vms.items()} == self.pools

    @invariant()
    def permits_stay_within_each_budget(self):
        """Guards against more permits at the same time than the budget of a pool allows."""
        tables = self.state_machine.state.tables
        planned = Counter(tables.vms[vm].pool for vm in tables.permits)
        assert max(planned.values(), default=0) <= BUDGET["max_down"]

    @invariant()
    def wave_holds_the_permits_of_its_steps(self):
        """Guards against a permit of a wave that is never returned, and against a reboot without a permit."""
        tables = self.state_machine.state.tables
        in_progress = (WaveVmStatus.DRAINING, WaveVmStatus.REBOOTING)
        steps = {(wave.wave_id, vm) for wave in tables.waves.values() for vm in wave.select(*in_progress)}
        permits = tables.permits.values()
        held = {(p.holder, p.vm) for p in permits if p.purpose is PermitPurpose.MAINTENANCE}
        assert held == steps
        for wave in tables.waves.values():
            assert wave.status is not WaveStatus.DONE or not is_active(wave)

    @invariant()
    def stopped_vm_has_a_permit(self):
        """Guards against a stopped VM that is never returned to service."""
        tables = self.state_machine.state.tables
        for vm in tables.vms.values():
            stopped = vm.state in (VmState.DRAINING, VmState.DRAINED, VmState.REBOOTING)
            assert not stopped or vm.name in tables.permits
            assert vm.state is not VmState.READY or vm.name not in tables.permits


TestFleetMachine = FleetMachine.TestCase
TestFleetMachine.settings = settings(
    max_examples=60, stateful_step_count=40, derandomize=True, deadline=None, database=None
)
TestFleetMachine = pytest.mark.timeout(100)(TestFleetMachine)

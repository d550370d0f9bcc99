"""Any order of drains, moves, withdrawals, failures and returns keeps budgets and pools."""

from __future__ import annotations

from collections import Counter

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from small_fleet import BUDGET, small_fleet

from hyssopway.control.command import (
    ChangeVm,
    DrainVm,
    MoveVm,
    RequestMove,
    ReturnVm,
    SetZone,
    TakePermit,
)
from hyssopway.control.record import PermitPurpose, VmState, ZoneStatus

VMS = st.sampled_from([f"{pool}-{number}" for pool in ("web", "batch", "spare") for number in range(8)])
POOLS = st.sampled_from(["web", "batch", "spare"])


class FleetMachine(RuleBasedStateMachine):
    """Compares each granted stop with a count made from the states before it."""

    def __init__(self):
        super().__init__()
        self.agreed = small_fleet()
        self.pools = {name: vm.pool for name, vm in self.agreed.state.tables.vms.items()}

    def operate(self, kind, vm, **fields):
        """Applies an operator's command."""
        index = self.agreed.state.applied_index
        common = {"vm": vm, "expected_epoch": self.agreed.vm(vm).epoch, "operator": "kim"}
        return self.agreed.apply(kind(**common, request_id=f"r{index}", **fields)).failure is None

    def stop(self, vm, ask):
        """Makes a planned stop and checks the count that allowed it."""
        known = self.agreed.vm(vm)
        vms = list(self.agreed.state.tables.vms.values())
        down = [v for v in vms if v.state is not VmState.READY and v.pool == known.pool and v.name != vm]
        held_before = vm in self.agreed.state.tables.permits
        granted = ask()
        if not granted or held_before:
            return
        purpose = self.agreed.state.tables.permits[vm].purpose
        assert len(down) < BUDGET["max_down"]
        if purpose is not PermitPurpose.WITHDRAWAL:
            assert not any((v.zone, v.rack) == (known.zone, known.rack) for v in down)
        else:
            assert self.agreed.state.tables.zones[known.zone].status is ZoneStatus.WITHDRAWN
        failed = Counter(v.pool for v in vms if v.state is VmState.DOWN)
        assert max(failed.values(), default=0) <= BUDGET["max_down"]

    @rule(vm=VMS)
    def drain(self, vm):
        """An operator drains a VM."""
        self.stop(vm, lambda: self.operate(DrainVm, vm))

    @rule(vm=VMS, pool=POOLS)
    def ask_move(self, vm, pool):
        """An operator asks for a move."""
        self.stop(vm, lambda: self.operate(RequestMove, vm, target=pool))

    @rule(vm=VMS)
    def empty_for_withdrawal(self, vm):
        """The leader empties a VM of a withdrawn zone."""
        command = TakePermit(
            vm=vm,
            purpose=PermitPurpose.WITHDRAWAL,
            holder="withdrawal",
            expected_epoch=self.agreed.vm(vm).epoch,
        )
        self.stop(vm, lambda: self.agreed.apply(command).failure is None)

    @rule(vm=VMS, state=st.sampled_from(list(VmState)))
    def change(self, vm, state):
        """A VM fails, returns or reports a state."""
        epoch = self.agreed.vm(vm).epoch
        self.agreed.apply(ChangeVm(vm=vm, state=state, expected_epoch=epoch, reason="rule"))

    @rule(vm=VMS, pool=POOLS)
    def move(self, vm, pool):
        """The leader makes a move."""
        known = self.agreed.vm(vm)
        before = self.down_in(pool)
        command = MoveVm(vm=vm, target=pool, expected_epoch=known.epoch, reason="rule")
        if self.agreed.apply(command).failure is None:
            self.pools[vm] = pool
            assert self.down_in(pool) <= max(before, BUDGET["max_down"])

    @rule(vm=VMS)
    def give_back(self, vm):
        """An operator returns a VM."""
        self.operate(ReturnVm, vm)

    @rule(zone=st.sampled_from(["east", "west"]), status=st.sampled_from(list(ZoneStatus)))
    def set_zone(self, zone, status):
        """An operator withdraws or returns a zone."""
        index = self.agreed.state.applied_index
        self.agreed.apply(SetZone(zone=zone, status=status, request_id=f"z{index}", operator="kim"))

    def down_in(self, pool):
        """Counts the VMs of a pool that are not ready."""
        vms = self.agreed.state.tables.vms.values()
        return sum(vm.pool == pool and vm.state is not VmState.READY for vm in vms)

    @invariant()
    def each_vm_is_in_the_pool_of_its_last_move(self):
        """Guards against a VM in two pools or in none."""
        assert {name: vm.pool for name, vm in self.agreed.state.tables.vms.items()} == self.pools

    @invariant()
    def planned_stops_alone_keep_each_budget(self):
        """Guards against a second permit at once."""
        tables = self.agreed.state.tables
        planned = Counter(tables.vms[vm].pool for vm in tables.permits)
        assert max(planned.values(), default=0) <= BUDGET["max_down"]

    @invariant()
    def stopped_vm_has_a_permit(self):
        """Guards against a VM that nobody puts back to work."""
        tables = self.agreed.state.tables
        for vm in tables.vms.values():
            stopped = vm.state in (VmState.DRAINING, VmState.DRAINED, VmState.REBOOTING)
            assert not stopped or vm.name in tables.permits
            assert vm.state is not VmState.READY or vm.name not in tables.permits


TestFleetMachine = FleetMachine.TestCase
TestFleetMachine.settings = settings(
    max_examples=60, stateful_step_count=40, derandomize=True, deadline=None, database=None
)
TestFleetMachine = pytest.mark.timeout(100)(TestFleetMachine)

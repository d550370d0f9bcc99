"""Simulates maintenance waves with a fake clock and without processes."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from hyssopway.control.command import AdvanceWave, ChangeVm, ControlWave, StartWave
from hyssopway.control.record import VmState, WaveStatus, WaveVmStatus
from hyssopway.fleet.drains import decide_moves
from hyssopway.fleet.waves import decide_waves

from .state_machine import StateMachineStandIn

if TYPE_CHECKING:
    from hyssopway.control.record import Vm, Wave


@dataclass(slots=True, kw_only=True)
class WaveDriver:
    """Simulates home daemons, workers and the platform, and counts the reboots and VMs that are down.

    Attributes:
        state_machine: Applies the commands of the decisions.
        drain_ms: Time that a drain takes.
        reboot_ms: Time from a reboot to the next sync of the VM.
        round_ms: Time between two rounds of the leader.
        one_at_a_time: Baseline policy: drains a VM only while no other VM is down.
        repeat_steps: Proposes each step twice, like a former leader that does not know of its successor.
        failing_reboots: VMs that do not come back after a reboot.
        reboots: Number of reboots by VM.
        peak_down: Largest number of VMs that were down at the same time, by pool.
        rebooting: Time at which each rebooting VM comes back.
        returned: Waves and VMs that came back after their reboot.
    """

    state_machine: StateMachineStandIn
    drain_ms: int = 20_000
    reboot_ms: int = 60_000
    round_ms: int = 5_000
    one_at_a_time: bool = False
    repeat_steps: bool = False
    failing_reboots: set[str] = field(default_factory=set)
    reboots: Counter[str] = field(default_factory=Counter)
    peak_down: Counter[str] = field(default_factory=Counter)
    rebooting: dict[str, int] = field(default_factory=dict)
    returned: set[tuple[str, str]] = field(default_factory=set)

    def start(self, *pools: str) -> Wave:
        """Starts a wave over the given pools."""
        index = self.state_machine.state.applied_index
        outcome = self.state_machine.apply(
            StartWave(pools=list(pools), request_id=f"w{index}", operator="operator")
        )
        return self.state_machine.state.tables.waves[outcome.reference]

    def run(self, wave: Wave, *, rounds: int = 4000) -> None:
        """Runs rounds until the wave is no longer running."""
        for _ in range(rounds):
            if wave.status is not WaveStatus.RUNNING:
                return
            self.run_round()

    def run_round(self) -> None:
        """Runs one round of the leader and advances drains and reboots."""
        state = self.state_machine.state
        self.state_machine.now_ms += self.round_ms
        steps = decide_waves(state, now_ms=self.state_machine.now_ms, returned=self.returned)
        for step in [*steps, *(steps if self.repeat_steps else [])]:
            if self._exceeds_baseline_limit(step):
                continue
            refused = self.state_machine.apply(step).failure
            if (
                isinstance(step, AdvanceWave)
                and step.status is WaveVmStatus.REBOOTING
                and refused is None
                and step.vm not in self.failing_reboots
            ):
                self.reboots[step.vm] += 1
                self.rebooting[step.vm] = self.state_machine.now_ms + self.reboot_ms
        for move in decide_moves(state):
            self.state_machine.apply(move)
        self._complete_drains()
        self._complete_reboots()
        down = Counter(vm.pool for vm in state.tables.vms.values() if vm.state is not VmState.READY)
        self.peak_down |= down

    def change(self, vm: str, state: VmState) -> None:
        """Changes the state of a VM."""
        epoch = self.state_machine.vm(vm).epoch
        self.state_machine.apply(ChangeVm(vm=vm, state=state, expected_epoch=epoch, reason="driver"))

    def _exceeds_baseline_limit(self, step: AdvanceWave | ControlWave) -> bool:
        if not self.one_at_a_time or not isinstance(step, AdvanceWave):
            return False
        return step.status is WaveVmStatus.DRAINING and bool(self.state_machine.state.tables.permits)

    def _complete_drains(self) -> None:
        tables = self.state_machine.state.tables
        for permit in list(tables.permits.values()):
            empty = self.state_machine.now_ms - permit.at_ms >= self.drain_ms
            if tables.vms[permit.vm].state is VmState.DRAINING and empty:
                self.change(permit.vm, VmState.DRAINED)

    def _complete_reboots(self) -> None:
        for name, at_ms in list(self.rebooting.items()):
            if at_ms <= self.state_machine.now_ms:
                del self.rebooting[name]
                self._register_rebooted(self.state_machine.vm(name))

    def _register_rebooted(self, vm: Vm) -> None:
        boot_id = f"boot-{self.state_machine.state.applied_index}"
        self.state_machine.register(vm.name, zone=vm.zone, rack=vm.rack, pool=vm.pool, boot_id=boot_id)
        waves = self.state_machine.state.tables.waves
        self.returned |= {(wave, vm.name) for wave in waves}


__all__ = ["WaveDriver"]

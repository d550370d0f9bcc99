"""Decides which VMs are down from the syncs of their workers."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from hyssopway.control.apply.waves import LOST
from hyssopway.control.command import ChangeVm
from hyssopway.control.record import VmState
from hyssopway.worker import WORKER_LEASE_S

if TYPE_CHECKING:
    from collections.abc import Mapping

    from hyssopway.control import ControlState
    from hyssopway.control.record import Vm

# The worker's lease has surely ended, and a worker whose home died had time to find another entry.
SILENT_S = WORKER_LEASE_S + 2.0
# A VM counts as back after a sync in this time; workers sync every 0.5 s.
RECENT_S = 2.0


@dataclass(slots=True, kw_only=True)
class Liveness:
    """When the leader last heard of each worker; soft state of one leadership.

    Attributes:
        led_since: Local time at which this daemon began to lead and to listen.
        heard_at: Local time of the last sync by VM.
    """

    led_since: float
    heard_at: dict[str, float] = field(default_factory=dict)

    def note(self, *, silent_s: Mapping[str, float], asked_at: float) -> None:
        """Takes the silences that an entry reported to a question asked at a local time."""
        for vm, seconds in silent_s.items():
            self.heard_at[vm] = max(self.heard_at.get(vm, self.led_since), asked_at - seconds)

    def decide(self, *, state: ControlState, now: float) -> list[ChangeVm]:
        """Returns the VMs that went down or came back."""
        changes = []
        for vm in state.tables.vms.values():
            silent_s = now - self.heard_at.get(vm.name, self.led_since)
            target, reason = _decide(state, vm=vm, silent_s=silent_s, heard=vm.name in self.heard_at)
            if target is not None:
                changes.append(ChangeVm(vm=vm.name, state=target, expected_epoch=vm.epoch, reason=reason))
        return changes


def _decide(state: ControlState, *, vm: Vm, silent_s: float, heard: bool) -> tuple[VmState | None, str]:
    if vm.state is VmState.DOWN:
        if not heard or silent_s > RECENT_S:
            return None, ""
        if _may_still_reboot(state, vm=vm):
            return None, ""
        if vm.name not in state.tables.permits:
            return VmState.READY, "its worker syncs again"
        empty = not state.indexes.running.get(vm.name)
        return (VmState.DRAINED, "its worker syncs again, permit held") if empty else (None, "")
    # A rebooting VM is silent; the wave that reboots it decides when it is lost.
    if vm.state is not VmState.REBOOTING and silent_s > SILENT_S:
        return VmState.DOWN, f"its worker is silent for {silent_s:.1f} s"
    return None, ""


def _may_still_reboot(state: ControlState, *, vm: Vm) -> bool:
    """Tells whether the platform was asked for a reboot that it may still carry out.

    Work placed on the VM would be cut off by it. A new worker process shows that the reboot is over.
    """
    return any(
        vm.name in wave.vms and wave.vms[vm.name].status in LOST and wave.vms[vm.name].boot_id == vm.boot_id
        for wave in state.tables.waves.values()
    )


__all__ = ["RECENT_S", "SILENT_S", "Liveness"]

"""Applies commands for zones, VMs and maintenance."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .apply_crashes import clear_lapsed, count_crashes
from .apply_workflows import end_run, list_start_times
from .run_end import RunEnd
from .run_outcome import RunOutcome
from .state_version import REPLACED_BOOTS_VERSION
from .vm_record import VmRecord
from .wave_record import WaveRecord

if TYPE_CHECKING:
    from collections.abc import Collection

    from .commands import (
        BeginMaintenance,
        ConfirmMaintenance,
        RecordMachineOrders,
        RegisterVm,
        RemoveVm,
        SetZoneEvacuated,
        StartWave,
    )
    from .indexes import Indexes
    from .tables import Tables


def set_zone_evacuated(tables: Tables, command: SetZoneEvacuated) -> None:
    """Marks a zone as evacuated, or puts it back into service."""
    if command.evacuated:
        tables.evacuated.add(command.zone)
    else:
        tables.evacuated.discard(command.zone)


def register_vm(tables: Tables, indexes: Indexes, command: RegisterVm) -> None:
    """Stores what a VM announced about itself; marks the runs of the boot that it replaces as lost, or moves them."""
    old = tables.vms.get(command.vm)
    is_replaced = old is not None and _replaces_boot(command, old=old)
    if old is not None and command.boot != old.boot and not is_replaced:
        return
    if old is not None and command.boot == old.boot and 0 < command.sequence < old.sequence:
        return  # announcements of one boot may overtake each other
    if old is not None and is_replaced:
        lost = old.runs.difference(command.kept_runs)
        started_ms = list_start_times(tables, vm=old, keys=lost)
        _mark_runs_lost(tables, indexes, vm=old, keys=lost, at_ms=command.at_ms)
        count_crashes(tables, indexes, vm=old, started_ms=started_ms, at_ms=command.at_ms)
        _move_to_boot(tables, vm=old, boot=command.boot)
    if old is not None and command.pool != old.pool:
        indexes.move_to_pool(command.pool, tables=tables, vm=old)
    same_boot = old if not is_replaced else None
    # A VM that started to drain never stops draining within the same boot. An announcement that was sent before
    # the drain may arrive late and must not clear the flag.
    draining = command.draining or (same_boot is not None and same_boot.draining)
    tables.vms[command.vm] = VmRecord(
        vm_id=command.vm,
        boot=command.boot,
        address=command.address,
        pool=command.pool,
        zone=command.zone,
        labels=command.labels,
        capacity=command.capacity,
        draining=draining,
        sequence=command.sequence,
        last_end=same_boot.last_end if same_boot is not None else 0,
        runs=old.runs if old is not None else set(),
        lapsed=old.lapsed if old is not None else set(),
        unconfirmed=old.unconfirmed if old is not None else set(),
        unreported=same_boot.unreported if same_boot is not None else set(),
        replaced_at_ms=_find_replacement_ms(tables, command, old=old, is_replaced=is_replaced),
    )


def remove_vm(tables: Tables, indexes: Indexes, command: RemoveVm) -> None:
    """Deletes a VM and marks its runs as lost."""
    vm = tables.vms.get(command.vm)
    if vm is None or vm.boot != command.boot:
        return
    _mark_runs_lost(tables, indexes, vm=vm, keys=vm.runs, at_ms=command.at_ms)
    clear_lapsed(indexes, vm=vm)
    del tables.vms[command.vm]


def start_wave(tables: Tables, command: StartWave) -> None:
    """Stores a wave unless its number is known."""
    if command.number not in tables.waves:
        tables.waves[command.number] = WaveRecord(
            number=command.number,
            machines=command.machines,
            deadline_ms=command.deadline_ms,
            max_down=command.max_down,
        )


def begin_maintenance(tables: Tables, command: BeginMaintenance) -> None:
    """Records that the maintenance of a machine is about to be requested from the platform."""
    wave = tables.waves.get(command.wave)
    if wave is not None:
        wave.begun.setdefault(command.machine, command.at_ms)
        tables.machine_orders[command.machine] = command.at_ms


def confirm_maintenance(tables: Tables, command: ConfirmMaintenance) -> None:
    """Records that the maintenance of a machine has begun."""
    wave = tables.waves.get(command.wave)
    if wave is not None:
        wave.confirmed.add(command.machine)


def record_machine_orders(tables: Tables, command: RecordMachineOrders) -> None:
    """Records that the platform is about to be asked to move machines."""
    for machine in command.machines:
        tables.machine_orders[machine] = command.at_ms


def _replaces_boot(command: RegisterVm, *, old: VmRecord) -> bool:
    """Returns whether a command tells of another boot that takes the place of the recorded one."""
    if command.boot == old.boot:
        return False  # also if both are 0, for a VM that does not report when it was started
    return command.boot > old.boot or command.replaced_boot == old.boot


def _find_replacement_ms(
    tables: Tables, command: RegisterVm, *, old: VmRecord | None, is_replaced: bool
) -> int:
    if old is None or tables.version < REPLACED_BOOTS_VERSION:
        return 0
    return command.at_ms if is_replaced else old.replaced_at_ms


def _move_to_boot(tables: Tables, *, vm: VmRecord, boot: int) -> None:
    """Moves the runs of a VM to its next boot, which may have received their starts."""
    for key in vm.runs:
        for run in tables.runs[key.rpartition("/")[0]]:
            if run.key == key:
                run.boot = boot
                run.is_moved = True
                run.is_counted = False


def _mark_runs_lost(
    tables: Tables, indexes: Indexes, *, vm: VmRecord, keys: Collection[str], at_ms: int
) -> None:
    for key in sorted(keys):
        task, _, run = key.rpartition("/")
        end = RunEnd(task=task, run=int(run), outcome=RunOutcome.LOST)
        end_run(tables, indexes, end=end, vm=vm.vm_id, boot=vm.boot, at_ms=at_ms)


__all__ = [
    "begin_maintenance",
    "confirm_maintenance",
    "record_machine_orders",
    "register_vm",
    "remove_vm",
    "set_zone_evacuated",
    "start_wave",
]

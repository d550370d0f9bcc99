"""A VM that runs a worker."""

from __future__ import annotations

from dataclasses import dataclass

from hyssopway.document import Resources

from .vm_state import VmState


@dataclass(slots=True, kw_only=True)
class Vm:
    """A worker VM with its pool, state and home.

    Attributes:
        name: Name of the VM.
        zone: Availability zone.
        rack: Rack within the zone.
        pool: Pool that it belongs to.
        capacity: Total capacity.
        home: Entry daemon that its worker reports to.
        home_epoch: Number that rises with each change of the home or the worker process.
        boot_id: ID of the worker process.
        state: State of the VM.
        epoch: Number that rises with each change of state or pool.
        reason: Why it is in this state.
        moved_for: Holder of the permit under which it was moved out of its pool; empty once it is back.
        moved_from: Pool that it returns to later.
    """

    name: str
    zone: str
    rack: str
    pool: str
    capacity: Resources
    home: str
    home_epoch: int = 1
    boot_id: str = ""
    state: VmState = VmState.READY
    epoch: int = 1
    reason: str = ""
    moved_for: str = ""
    moved_from: str = ""


__all__ = ["Vm"]

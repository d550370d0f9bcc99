"""A VM that runs a worker."""

from __future__ import annotations

from dataclasses import dataclass

from hyssopway.document import Resources

from .vm_state import VmState


@dataclass(slots=True, kw_only=True)
class Vm:
    """A VM with its pool, state and home entry.

    Attributes:
        name: Name.
        zone: Availability zone.
        rack: Rack.
        pool: The one pool that it belongs to.
        capacity: What it has.
        home: Entry daemon that its worker syncs with.
        home_epoch: Counts the changes of home.
        boot_id: Identity of the worker process.
        state: State.
        epoch: Counts the changes of state and pool.
        reason: Why it is in this state.
        moved_for: Holder of the permit of the move that took it out of its pool; empty once it is back.
        moved_from: Pool that it goes back to later.
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

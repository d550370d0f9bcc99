"""Interface of the platform for machines: lists them and orders moves and maintenance."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Callable


class MachineState(StrEnum):
    """State of a machine as the platform reports it."""

    UP = "up"
    MOVING = "moving"
    MAINTENANCE = "maintenance"
    DOWN = "down"


@dataclass(frozen=True, slots=True, kw_only=True)
class Machine:
    """A machine as the platform lists it.

    Attributes:
        machine_id: ID of the machine, which stays the same across maintenance and moves.
        pool: Name of its pool.
        state: State of the machine.
        zone: Availability zone.
        vm_id: ID of the VM that runs on the machine, which changes with maintenance and moves; empty while there is
            none.
    """

    machine_id: str
    pool: str
    state: MachineState
    zone: str
    vm_id: str


class MachineOrderResult(StrEnum):
    """Result of an order for a machine."""

    DONE = "done"
    FENCED = "fenced"
    BUSY = "busy"  # the machine is not up, or is being moved away
    NOT_DUE = "not_due"  # the machine is not part of the wave
    GONE = "gone"


class MachineCallError(Exception):
    """The platform gave no usable answer; the order may have been carried out."""


class MachineCalls(Protocol):
    """Client of the platform's interface for machines.

    Every call raises `MachineCallError` when there is no usable answer within its timeout. An order is sent only if
    `may_send` still returns True when it is written to the connection: a platform that does not check the fencing
    token would carry out a late order of a former leader.
    """

    async def list_machines(self) -> list[Machine]:
        """Lists all machines."""
        ...

    async def order_maintenance(
        self, *, machine_id: str, wave: int, fencing_token: int, may_send: Callable[[], bool]
    ) -> MachineOrderResult:
        """Starts the maintenance of a machine; all runs on it end."""
        ...

    async def order_move(
        self, *, machine_id: str, pool: str, fencing_token: int, may_send: Callable[[], bool]
    ) -> MachineOrderResult:
        """Moves a machine to another pool; all runs on it end."""
        ...


__all__ = ["Machine", "MachineCallError", "MachineCalls", "MachineOrderResult", "MachineState"]

"""Machines as the platform lists them, read no more often than needed."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hyssopway.event import Event, log_event

from .machine_calls import MachineCallError, MachineState

if TYPE_CHECKING:
    from .leadership import Leadership
    from .machine_calls import Machine, MachineCalls

RETRY_S = 0.5


class MachineList:
    """The last list of machines.

    Attributes:
        leadership: The term.
        calls: Client of the platform.
        machines: Machines by identity.
        listed_at: Local time at which the last list was asked for.
        ordered: Machines that were ordered to move or into maintenance, with the local time until which a list
            may not show it yet.
        tried_at: Local time of the last try.
    """

    __slots__ = ("calls", "leadership", "listed_at", "machines", "ordered", "tried_at")

    def __init__(self, *, leadership: Leadership, calls: MachineCalls) -> None:
        self.leadership = leadership
        self.calls = calls
        self.machines: dict[str, Machine] = {}
        self.listed_at = float("-inf")
        self.tried_at = float("-inf")
        self.ordered: dict[str, float] = {}

    async def refresh(self, *, max_age_s: float) -> None:
        """Reads the list again when it is older than asked for."""
        now = self.leadership.clock()
        if now - self.listed_at < max_age_s or now - self.tried_at < RETRY_S:
            return
        self.tried_at = now
        try:
            machines = await self.calls.list_machines()
        except MachineCallError as error:
            log_event(Event.PLATFORM_FAILED, call="list_machines", error=str(error))
            return
        self.listed_at = now
        self.machines = {machine.machine_id: machine for machine in machines}
        self.ordered = {
            machine_id: until
            for machine_id, until in self.ordered.items()
            if machine_id in self.machines and (now < until or not self._is_up(machine_id))
        }

    def note_order(self, machine_id: str, *, duration_s: float) -> None:
        """Notes that a machine was ordered away for some seconds."""
        self.ordered[machine_id] = self.leadership.clock() + duration_s

    def is_available(self, machine_id: str) -> bool:
        """Tells whether a machine is up and no order for it is in progress."""
        return machine_id not in self.ordered and self._is_up(machine_id)

    def _is_up(self, machine_id: str) -> bool:
        machine = self.machines.get(machine_id)
        return machine is not None and machine.state is MachineState.UP


__all__ = ["MachineList"]

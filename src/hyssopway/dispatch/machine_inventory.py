"""Inventory of the machines that the platform lists, and of the orders in progress for them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hyssopway.clock import wall_ms
from hyssopway.event import Event, log_event

from .machine_calls import MachineCallError, MachineState

if TYPE_CHECKING:
    from .leadership import Leadership
    from .machine_calls import Machine, MachineCalls

RETRY_S = 0.5
# Largest difference between the wall clocks of two nodes, also after a clock step.
MAX_CLOCK_SKEW_S = 5.0
# A machine may have joined after the last list was read, or be missing from a list whose pages shifted.
GONE_AFTER_S = 3.0


class MachineInventory:
    """Machines from the last list of the platform, and which of them this leader may order.

    Attributes:
        leadership: Term of the leader.
        calls: Client of the platform.
        machines: Machines of the last list by machine ID.
        listed_at: Local time at which the last list was requested.
        received_at: Local time at which the last list was received.
        missing_since: Local time since which each machine has been missing from lists, by machine ID.
        ordered: Machines that were ordered to move or into maintenance, with the local time until which a list
            may not show it yet.
        tried_at: Local time of the last attempt to read the list.
        machine_lease_s: Shortest time in seconds between orders of two leaders for one machine.
        min_down_s: Shortest time in seconds for which an order keeps a machine from being up.
        orderable_at: Machines that a former leader may have ordered recently, with the local time from
            which this one may order them.
    """

    __slots__ = (
        "calls",
        "leadership",
        "listed_at",
        "machine_lease_s",
        "machines",
        "min_down_s",
        "missing_since",
        "orderable_at",
        "ordered",
        "received_at",
        "tried_at",
    )

    def __init__(
        self, *, leadership: Leadership, calls: MachineCalls, machine_lease_s: float, min_down_s: float
    ) -> None:
        self.leadership = leadership
        self.calls = calls
        self.machines: dict[str, Machine] = {}
        self.listed_at = float("-inf")
        self.received_at = float("-inf")
        self.missing_since: dict[str, float] = {}
        self.tried_at = float("-inf")
        self.ordered: dict[str, float] = {}
        self.machine_lease_s = machine_lease_s
        self.min_down_s = min_down_s
        recent_ms = wall_ms() - (machine_lease_s + MAX_CLOCK_SKEW_S) * 1000
        orders = leadership.state.tables.machine_orders
        self.orderable_at = {
            machine_id: leadership.started_at + machine_lease_s
            for machine_id, at_ms in orders.items()
            if at_ms > recent_ms
        }

    async def refresh(self, *, max_age_s: float) -> None:
        """Reads the list again when it is older than `max_age_s` seconds; keeps the old list on an error."""
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
        self.received_at = self.leadership.clock()
        self.machines = {machine.machine_id: machine for machine in machines}
        for machine_id in self.machines:
            self.missing_since.pop(machine_id, None)
        self._update_orderable_at()
        self.ordered = {
            machine_id: until
            for machine_id, until in self.ordered.items()
            if not self.is_gone(machine_id) and (now < until or not self._is_up(machine_id))
        }

    def is_list_current(self) -> bool:
        """Returns whether the list is so recent that no machine in it can have got another VM since."""
        return self.leadership.clock() - self.received_at < self.min_down_s

    def is_gone(self, machine_id: str) -> bool:
        """Returns whether a machine has been missing from lists for so long that it counts as gone."""
        if machine_id in self.machines:
            return False
        since = self.missing_since.setdefault(machine_id, self.leadership.clock())
        return self.listed_at - since >= GONE_AFTER_S

    def record_order(self, machine_id: str, *, duration_s: float) -> None:
        """Records that a machine was ordered to move or into maintenance, which takes `duration_s` seconds."""
        self.ordered[machine_id] = self.leadership.clock() + duration_s

    def is_available(self, machine_id: str) -> bool:
        """Returns whether a machine is up and no order for it is in progress."""
        return machine_id not in self.ordered and self._is_up(machine_id) and self.may_order(machine_id)

    def may_order(self, machine_id: str) -> bool:
        """Returns whether no former leader can have ordered a machine within `machine_lease_s`."""
        return self.leadership.clock() >= self.orderable_at.get(machine_id, float("-inf"))

    def list_uncertain_vms(self) -> list[str]:
        """Returns the IDs of VMs for whose machine an order of a former leader may still take effect.

        A VM that has joined since the order is the one that the order led to, which has another ID than the one before. A
        VM that has restarted under its ID is not.
        """
        tables, observed = self.leadership.state.tables, self.leadership.state.observed
        uncertain = []
        for machine_id in self.orderable_at:
            machine = self.machines.get(machine_id)
            record = tables.vms.get(machine.vm_id) if machine is not None else None
            if record is None or self.may_order(machine_id):
                continue
            has_restarted = observed.find_boot_change(record.vm_id) > float("-inf")
            if has_restarted or record.boot <= tables.machine_orders.get(machine_id, 0):
                uncertain.append(record.vm_id)
        return uncertain

    def _update_orderable_at(self) -> None:
        """Counts the machine lease of a machine that is up from the latest time at which it can have got an order.

        A former leader orders nothing after the start of this term, and a machine that it had ordered since
        would not be up yet. A machine that is not up any more got an order that took long to arrive.
        """
        latest_order_at = self.leadership.clock() - self.min_down_s
        for machine_id, previous_at in self.orderable_at.items():
            if self._is_up(machine_id):
                self.orderable_at[machine_id] = min(previous_at, latest_order_at + self.machine_lease_s)
            else:
                self.orderable_at[machine_id] = max(
                    previous_at, self.leadership.started_at + self.machine_lease_s
                )

    def _is_up(self, machine_id: str) -> bool:
        machine = self.machines.get(machine_id)
        return machine is not None and machine.state is MachineState.UP


__all__ = ["MachineInventory"]

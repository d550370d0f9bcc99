"""Cache of the tickets that an advisor issued for steps and VMs."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from hyssopway.clock import Clock

# Tickets expire this much earlier in the cache, because a ticket must still be valid when the start reaches the VM.
EXPIRY_MARGIN_S = 0.3


@dataclass(frozen=True, slots=True, kw_only=True)
class Ticket:
    """Permission to start the tasks of one step on one boot of a VM, or its refusal.

    Attributes:
        text: Ticket that is sent with a start; empty when the step must not run on the VM.
        boot: Boot of the VM.
        expires_at: Local time from which the ticket is not used.
    """

    text: str
    boot: int
    expires_at: float


class TicketCache:
    """Answers of advisors for each step and VM.

    Attributes:
        clock: Monotonic clock in seconds.
        tickets: Tickets by step name (workflow, occurrence and step number) and VM ID.
    """

    __slots__ = ("clock", "tickets")

    def __init__(self, *, clock: Clock) -> None:
        self.clock = clock
        self.tickets: dict[str, dict[str, Ticket]] = {}

    def record_answer(
        self,
        step: str,
        *,
        requested: dict[str, int],
        approved: dict[str, str],
        requested_at: float,
        validity_s: float,
    ) -> None:
        """Records the answer to one request.

        Args:
            step: Name of the step.
            requested: Boots by ID of the VMs that the request named.
            approved: Tickets by ID of the VMs that may run the step.
            requested_at: Local time of the request; validity counts from then, because the answer may be late.
            validity_s: Validity of tickets in seconds.
        """
        by_vm = self.tickets.setdefault(step, {})
        for vm, boot in requested.items():
            by_vm[vm] = Ticket(
                text=approved.get(vm, ""), boot=boot, expires_at=requested_at + validity_s - EXPIRY_MARGIN_S
            )

    def read(self, step: str, *, vm: str, boot: int) -> str:
        """Returns the ticket for a step on a VM; empty when there is no valid one."""
        ticket = self.tickets.get(step, {}).get(vm)
        if ticket is None or ticket.boot != boot or self.clock() >= ticket.expires_at:
            return ""
        return ticket.text

    def is_refused(self, step: str, *, vm: str, boot: int) -> bool:
        """Returns whether a step must not run on a VM; a refusal holds for the whole boot."""
        ticket = self.tickets.get(step, {}).get(vm)
        return ticket is not None and ticket.boot == boot and not ticket.text

    def drop(self, step: str, *, vm: str) -> None:
        """Removes a ticket that a VM did not accept, so that a new one is requested."""
        self.tickets.get(step, {}).pop(vm, None)

    def keep_steps(self, steps: Iterable[str]) -> None:
        """Removes the tickets of all steps except those named."""
        kept = set(steps)
        self.tickets = {step: by_vm for step, by_vm in self.tickets.items() if step in kept}


__all__ = ["Ticket", "TicketCache"]

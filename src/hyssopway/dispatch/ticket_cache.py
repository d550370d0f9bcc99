"""Tickets that an advisor gave for steps and VMs."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from hyssopway.clock import Clock

# A start is on its way while its ticket must still be valid.
MARGIN_S = 0.3


@dataclass(frozen=True, slots=True, kw_only=True)
class Ticket:
    """Leave to start the tasks of one step on one boot of a VM.

    Attributes:
        text: What the start carries; empty when the step must not run there.
        boot: Boot of the VM.
        expires_at: Local time from which it is not used.
    """

    text: str
    boot: int
    expires_at: float


class TicketCache:
    """What is known of the VMs of each advised step.

    Attributes:
        clock: Monotonic seconds.
        tickets: Answers by name of the step (workflow, occurrence and step) and VM.
    """

    __slots__ = ("clock", "tickets")

    def __init__(self, *, clock: Clock) -> None:
        self.clock = clock
        self.tickets: dict[str, dict[str, Ticket]] = {}

    def note_answer(
        self, step: str, *, asked: dict[str, int], good: dict[str, str], asked_at: float, validity_s: float
    ) -> None:
        """Takes in an answer.

        Args:
            step: Name of the step.
            asked: VMs that were asked about, with their boots.
            good: Tickets of those that may run the step.
            asked_at: Local time of the question; validity counts from then, since the answer may be late.
            validity_s: How long tickets are valid.
        """
        known = self.tickets.setdefault(step, {})
        for vm, boot in asked.items():
            known[vm] = Ticket(text=good.get(vm, ""), boot=boot, expires_at=asked_at + validity_s - MARGIN_S)

    def read(self, step: str, *, vm: str, boot: int) -> str:
        """Returns the ticket for a step on a VM; empty when there is none that is valid."""
        ticket = self.tickets.get(step, {}).get(vm)
        if ticket is None or ticket.boot != boot or self.clock() >= ticket.expires_at:
            return ""
        return ticket.text

    def is_refused(self, step: str, *, vm: str, boot: int) -> bool:
        """Tells whether a step must not run on a VM; that does not change during a boot."""
        ticket = self.tickets.get(step, {}).get(vm)
        return ticket is not None and ticket.boot == boot and not ticket.text

    def drop(self, step: str, *, vm: str) -> None:
        """Forgets a ticket that a VM did not accept, so that it is asked for again."""
        self.tickets.get(step, {}).pop(vm, None)

    def keep_steps(self, steps: Iterable[str]) -> None:
        """Forgets all other steps."""
        kept = set(steps)
        self.tickets = {step: known for step, known in self.tickets.items() if step in kept}


__all__ = ["Ticket", "TicketCache"]

"""Answer of a VM to an order."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class Refusal(StrEnum):
    """Reason for which a VM did not carry out an order."""

    FENCED = "fenced"  # the VM has seen a higher fencing token
    OLD_RUN = "old_run"  # this run or a later one of the task was stopped or has ended on the VM
    LATE = "late"  # the lease in the order has expired
    NO_ROOM = "no_room"
    NO_TICKET = "no_ticket"
    OTHER_BOOT = "other_boot"  # another VM, or another boot of this one, answers at the address
    UNHEALTHY = "unhealthy"
    INVALID = "invalid"


@dataclass(frozen=True, slots=True, kw_only=True)
class OrderReply:
    """Answer to a start, stop or change of pace.

    Attributes:
        refusal: Reason for which the order was not carried out; None if it was.
        clock_ms: Monotonic clock of the VM when it answered; None if the answer does not tell.
    """

    refusal: Refusal | None = None
    clock_ms: int | None = None


__all__ = ["OrderReply", "Refusal"]

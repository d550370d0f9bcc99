"""What a VM answers to an order."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class Refusal(StrEnum):
    """Why a VM did nothing."""

    FENCED = "fenced"  # it knows a higher fencing token
    OLD_RUN = "old_run"  # this run or a later one was stopped or ended there
    LATE = "late"  # the lease that came with the order is over
    NO_ROOM = "no_room"
    NO_TICKET = "no_ticket"
    OTHER_BOOT = "other_boot"  # another VM or boot answers at this address
    UNHEALTHY = "unhealthy"
    INVALID = "invalid"


@dataclass(frozen=True, slots=True, kw_only=True)
class OrderReply:
    """Answer to a start, stop or change of pace.

    Attributes:
        refusal: Why nothing was done; None when the order was carried out.
    """

    refusal: Refusal | None = None


__all__ = ["OrderReply", "Refusal"]

"""What shows that a VM had a run when its boot ended."""

from __future__ import annotations

from enum import StrEnum, auto
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .order_state import OrderState

# A VM whose connections end this soon after it accepted a start may have ended because of the start.
MAX_START_CRASH_S = 0.5


class Evidence(StrEnum):
    """What shows that a VM had a run when its boot ended."""

    LISTED = auto()
    ACCEPTED = auto()
    BROKEN = auto()  # the connection of the start ended before its answer
    UNANSWERED = auto()
    UNKNOWN = auto()  # an earlier leader sent the start


UNACCEPTED = (Evidence.BROKEN, Evidence.UNANSWERED)


def find_evidence(order_state: OrderState | None) -> Evidence:
    """Returns what shows that a VM had a run that it did not list last."""
    if order_state is None or order_state.ordered_at == float("inf"):
        return Evidence.UNKNOWN
    if order_state.is_accepted:
        return Evidence.ACCEPTED
    return Evidence.BROKEN if order_state.is_connection_broken else Evidence.UNANSWERED


def is_confirmed(
    evidence: Evidence,
    *,
    order_state: OrderState | None,
    is_replaced: bool,
    unreachable_since: float,
    is_only_start: bool,
) -> bool:
    """Returns whether a VM certainly had a run when its boot ended.

    A start that was accepted after a connection had ended may have been accepted by the next boot under the ID. Of several
    starts that were on their way when the connections ended, one may have crashed the VM before it received the others.
    """
    match evidence:
        case Evidence.LISTED:
            return True
        case Evidence.ACCEPTED if order_state is not None:
            return not is_replaced or order_state.accepted_at <= unreachable_since < float("inf")
        case Evidence.BROKEN if order_state is not None:
            return is_only_start and 0 <= unreachable_since - order_state.ordered_at <= MAX_START_CRASH_S
        case _:
            return False


__all__ = ["MAX_START_CRASH_S", "UNACCEPTED", "Evidence", "find_evidence", "is_confirmed"]

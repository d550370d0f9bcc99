"""Resolves the outcome of a run that its VM does not list.

An order may be lost or carried out seconds late, and a leader may take over from one that died after committing a
start and before sending it.
"""

from __future__ import annotations

from enum import Enum, auto
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .order_state import OrderState


class Resolution(Enum):
    """How to proceed with a committed run that its VM does not list."""

    WAIT = auto()  # the start is in flight, or the run may be stopping
    STOP = auto()  # the start may still arrive; a stop makes the VM refuse it
    NEVER_RAN = auto()  # the run never started and can no longer start
    VANISHED = auto()  # the VM accepted the run and lists it neither as running nor as ended


def resolve_unlisted(
    *,
    order_state: OrderState,
    run_token: int,
    own_token: int,
    term_acked_at: float,
    listing_sent_at: float,
    stop_s: float,
) -> Resolution:
    """Resolves a run that is missing from a listing.

    A run that is being stopped is still working but listed neither as running nor as ended. The outcome is therefore
    certain only once the run has stayed unlisted for the longest duration of a stop, counted from when the VM had
    accepted the run or could no longer start it.

    Args:
        order_state: State of the order as this leader knows it; a new one if another leader sent the order.
        run_token: Fencing token under which the run was committed.
        own_token: Fencing token of this leader, which the VM has acknowledged.
        term_acked_at: Local time at which the VM first acknowledged that token.
        listing_sent_at: Local time at which the poll for the listing was sent.
        stop_s: Longest time that the VM takes to stop a run.
    """
    if order_state.is_sending:
        return Resolution.WAIT
    was_accepted = order_state.accepted_at != float("inf")
    # Once the VM has seen the higher token, it refuses orders of earlier leaders.
    order_final_since = term_acked_at if run_token < own_token else order_state.stopped_at
    order_final_since = min(order_final_since, order_state.accepted_at)
    if order_final_since == float("inf"):
        return Resolution.STOP
    if listing_sent_at < max(order_final_since, order_state.unlisted_since) + stop_s:
        return Resolution.WAIT
    return Resolution.VANISHED if was_accepted else Resolution.NEVER_RAN


__all__ = ["Resolution", "resolve_unlisted"]

"""Decides what became of runs that a VM does not list.

Answers the load pattern of orders that are lost, or carried out seconds late, and of a leader that takes over from
one that died between two steps.
"""

from __future__ import annotations

from enum import Enum, auto
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .order_state import OrderState


class Resolution(Enum):
    """What is known of an agreed run that its VM does not list."""

    WAIT = auto()  # the order is on its way, or the run may be ending
    STOP = auto()  # the order may still arrive; a stop makes the VM refuse it
    NOT_STARTED = auto()
    LOST = auto()  # it was accepted and is listed neither as running nor as ended


def resolve_unlisted(
    *,
    order_state: OrderState,
    run_token: int,
    own_token: int,
    term_acked_at: float,
    listing_sent_at: float,
    stop_s: float,
) -> Resolution:
    """Settles a run that is not in a listing.

    A run that is being stopped is listed neither as running nor as ended, and still works. So a run is settled only
    when it stays unlisted for as long as a stop may take, from when its start has become impossible.

    Args:
        order_state: The order as this leader knows it; a fresh one when another leader sent it.
        run_token: Fencing token under which the run was agreed.
        own_token: Fencing token that the VM answered.
        term_acked_at: Local time at which the VM first answered that token.
        listing_sent_at: Local time at which the listing was asked for.
        stop_s: Longest time that the VM takes to stop a run.
    """
    if order_state.is_sending:
        return Resolution.WAIT
    was_accepted = order_state.accepted_at != float("inf")
    # The VM has seen the higher token, so an order of a former leader does nothing from then on.
    settled_since = term_acked_at if run_token < own_token else order_state.stopped_at
    settled_since = min(settled_since, order_state.accepted_at)
    if settled_since == float("inf"):
        return Resolution.STOP
    if listing_sent_at < max(settled_since, order_state.unlisted_since) + stop_s:
        return Resolution.WAIT
    return Resolution.LOST if was_accepted else Resolution.NOT_STARTED


__all__ = ["Resolution", "resolve_unlisted"]

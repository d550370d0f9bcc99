"""Decides what became of runs that a VM does not list.

Answers the load pattern of orders that are lost, or carried out seconds late, and of a leader that takes over from
one that died between two steps.
"""

from __future__ import annotations

from enum import Enum, auto
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .flight import Flight


class Settlement(Enum):
    """What is known of an agreed run that its VM does not list."""

    WAIT = auto()  # the order is on its way
    STOP = auto()  # the order may still arrive; a stop makes the VM refuse it
    NEVER_RAN = auto()
    VANISHED = auto()  # it was accepted and is listed neither as running nor as ended


def settle_unlisted(
    *, flight: Flight | None, run_token: int, own_token: int, listing_sent_at: float
) -> Settlement:
    """Settles a run that is not in a listing.

    Args:
        flight: The order as this leader knows it; None when another leader sent it.
        run_token: Fencing token under which the run was agreed.
        own_token: Fencing token that the VM answered.
        listing_sent_at: Local time at which the listing was asked for.
    """
    if run_token < own_token:
        # The VM has seen the higher token, so an order of the former leader does nothing from now on.
        return Settlement.NEVER_RAN
    if flight is None:
        return Settlement.STOP
    if flight.is_sending:
        return Settlement.WAIT
    if listing_sent_at > flight.stopped_at:
        return Settlement.NEVER_RAN
    if listing_sent_at > flight.accepted_at:
        return Settlement.VANISHED
    if flight.accepted_at != float("inf"):
        return Settlement.WAIT
    return Settlement.STOP


__all__ = ["Settlement", "settle_unlisted"]

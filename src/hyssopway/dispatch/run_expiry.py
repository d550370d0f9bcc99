"""Finds when the lease of each run of a silent VM has certainly expired.

A run that the boot in the record has started holds the lease of that boot. A run whose start may have been carried out by a
later boot, of which nothing has been heard, may hold the longest lease.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hyssopway.workflow import VmRecord

    from .order_state import OrderState
    from .vm_link import VmLink


def list_expired_runs(link: VmLink, record: VmRecord) -> set[str]:
    """Returns the keys of the runs in the record of a VM that certainly hold no lease any more."""
    now = link.leadership.clock()
    return {key for key in record.runs if now > find_expiry(link, key)}


def find_last_expiry(link: VmLink, record: VmRecord) -> float:
    """Returns the local time after which no run in the record of a VM holds a lease."""
    return max((find_expiry(link, key) for key in record.runs), default=link.lease.expires_at)


def find_expiry(link: VmLink, key: str) -> float:
    """Returns the local time after which a run of a VM certainly holds no lease.

    Args:
        link: Link to the VM.
        key: Key of a run in the VM's record.
    """
    order_state = link.orders.order_states.get(key)
    if order_state is not None and order_state.is_sending:
        return float("inf")
    if _may_be_on_next_boot(link, order_state):
        return max(link.lease.expires_at, link.orders.next_boot.expires_at)
    return link.lease.expires_at


def _may_be_on_next_boot(link: VmLink, order_state: OrderState | None) -> bool:
    """Returns whether a boot that has not been heard of may have started a run when its start arrived."""
    if link.orders.is_refused:
        return False  # nothing runs on a VM that refuses connections
    if order_state is None:
        return True
    # A boot that answered a poll later was still there when the start arrived.
    return not order_state.has_started_on_boot and order_state.last_sent_at >= link.listing_sent_at


__all__ = ["find_expiry", "find_last_expiry", "list_expired_runs"]

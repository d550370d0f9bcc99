"""Finds when the lease of each run of a silent VM has certainly expired.

A run that the boot in the record has started holds the lease of that boot. A run whose start may have been carried out by a
later boot, of which nothing has been heard, may hold the longest lease.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from hyssopway.workflow import TaskId

from .lease import lease_expiry
from .order_delay import MAX_ORDER_DELAY_S

if TYPE_CHECKING:
    from hyssopway.workflow import ActiveRun, VmRecord

    from .leadership import Leadership
    from .order_state import OrderState
    from .vm_link import VmLink


# A leader sends a start, and leases to a VM that does not answer, for at most this long after the start is committed.
MAX_SENDING_S = 3.0
# The same if it repeats the start, as it does for long-running tasks: `MAX_REPEAT_S`, then one poll and one round of orders.
MAX_REPEATED_SENDING_S = 8.0


def find_former_lease_expiry(
    leadership: Leadership, *, vm_id: str, length_s: float, longest_s: float
) -> float:
    """Returns the local time after which the boot of a VM holds no lease of former leaders.

    If it has replaced another one, calls that were meant for that one may give it the longest lease.

    Args:
        leadership: Term of this leader.
        vm_id: ID of the VM.
        length_s: Length of a lease in seconds.
        longest_s: Longest lease that VMs accept, in seconds.
    """
    expires_at = lease_expiry(granted_at=leadership.started_at, length_s=length_s)
    last_sent_at = min(leadership.state.observed.find_boot_change(vm_id), leadership.started_at)
    late = lease_expiry(granted_at=last_sent_at + MAX_ORDER_DELAY_S, length_s=longest_s)
    return max(expires_at, late)


def list_expired_runs(link: VmLink, record: VmRecord) -> set[str]:
    """Returns the keys of the runs in the record of a VM that certainly hold no lease any more."""
    now = link.leadership.clock()
    return {key for key in record.runs if now > find_expiry(link, key)}


def find_last_expiry(link: VmLink, record: VmRecord) -> float:
    """Returns the local time after which no run in the record of a VM holds a lease; negative infinity without runs."""
    return max((find_expiry(link, key) for key in record.runs), default=float("-inf"))


def find_expiry(link: VmLink, key: str) -> float:
    """Returns the local time after which a run of a VM certainly holds no lease.

    Args:
        link: Link to the VM.
        key: Key of a run in the VM's record.
    """
    order_state = link.orders.order_states.get(key)
    run = _find_run(link, key)
    if order_state is not None and order_state.is_sending:
        return float("inf")
    if _has_ended_with_boot(link, key=key, order_state=order_state):
        return link.lease.granted_until
    expires_at = link.lease.expires_at
    if not _may_be_on_next_boot(link, order_state):
        return expires_at
    if run is not None and run.fencing_token != link.leadership.term:
        expires_at = max(expires_at, _find_former_expiry(link, run))
    return max(expires_at, link.orders.next_boot.expires_at)


def _find_run(link: VmLink, key: str) -> ActiveRun | None:
    runs = link.leadership.state.tables.runs.get(key.rpartition("/")[0], ())
    return next((run for run in runs if run.key == key), None)


def _find_former_expiry(link: VmLink, run: ActiveRun) -> float:
    """Returns when the lease expires that a former leader may have given to a next boot that started the run."""
    task = TaskId.parse(run.task)
    step = link.leadership.state.tables.workflows[task.workflow].spec.steps[task.step]
    sending_s = MAX_REPEATED_SENDING_S if step.long_running else MAX_SENDING_S
    last_sent_at = min(
        link.leadership.state.observed.find_start(run.key) + sending_s, link.leadership.started_at
    )
    return lease_expiry(granted_at=last_sent_at, length_s=link.orders.next_boot.longest_s)


def _has_ended_with_boot(link: VmLink, *, key: str, order_state: OrderState | None) -> bool:
    """Returns whether a VM refuses connections, and no boot but the one that has ended can have started a run."""
    return (
        link.orders.is_refused
        and order_state is not None
        and order_state.has_started_on_boot
        and key not in link.orders.late_starts.list_possible()
    )


def _may_be_on_next_boot(link: VmLink, order_state: OrderState | None) -> bool:
    """Returns whether a boot that has not been heard of may have started a run when its start arrived."""
    if link.orders.is_refused:
        return False  # nothing runs on a VM that refuses connections
    if order_state is None:
        return True  # a former leader sent the start
    if order_state.has_started_on_boot:
        return False
    # A boot that answered a poll later was still there when the start arrived.
    last_sent_at = max(order_state.last_sent_at, link.leadership.started_at)
    return last_sent_at >= link.listing_sent_at


__all__ = ["find_expiry", "find_former_lease_expiry", "find_last_expiry", "list_expired_runs"]

"""Lists the VMs that may get starts, with their free capacity."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hyssopway.clock import wall_ms
from hyssopway.scheduling.crash_isolation import NO_SUSPECTS, measure_suspect_load
from hyssopway.scheduling.rating import Rating

from .vm_capacity import compute_free_capacity
from .withheld_vms import find_withheld_vms

if TYPE_CHECKING:
    from collections.abc import Collection

    from hyssopway.workflow import VmRecord

    from .dispatcher import Dispatcher
    from .free_capacity import FreeCapacity
    from .vm_link import VmLink

# A long-running task may be without a run for 9 s; its next start takes up to one of them. Calls for an earlier boot of a VM
# may have given it a lease that ends later than that.
MAX_LASTING_WAIT_S = 8.0


def list_free_capacity(dispatcher: Dispatcher) -> dict[str, list[FreeCapacity]]:
    """Returns the free capacity of preferred VMs and of those that may be probed, by pool."""
    ratings = dispatcher.ratings
    tables = dispatcher.leadership.state.tables
    vms = {
        vm_id
        for vm_id, record in tables.vms.items()
        if ratings.rating(vm_id) is Rating.PREFERRED or ratings.may_probe(vm_id, runs=record.runs)
    }
    probed = {vm_id for vm_id in vms if ratings.rating(vm_id) is Rating.PROBED}
    return _list_capacity(dispatcher, vms=vms, probed=probed)


def list_badly_rated_capacity(
    dispatcher: Dispatcher, *, without: Collection[str]
) -> dict[str, list[FreeCapacity]]:
    """Returns the free capacity of the VMs that are avoided or probed, for tasks that can run on no other, by pool.

    Args:
        dispatcher: Dispatcher of the leader.
        without: IDs of VMs that are left out.
    """
    vms = set(dispatcher.ratings.list_avoided()).difference(without)
    return _list_capacity(dispatcher, vms=vms, probed=set())


def is_open(dispatcher: Dispatcher, record: VmRecord) -> bool:
    """Returns whether a VM may get starts as far as operators and the VM itself are concerned."""
    tables = dispatcher.leadership.state.tables
    return tables.accepts_starts(record) and record.vm_id not in dispatcher.cordoned_vms


def _list_capacity(
    dispatcher: Dispatcher, *, vms: Collection[str], probed: Collection[str]
) -> dict[str, list[FreeCapacity]]:
    state, now = dispatcher.leadership.state, dispatcher.leadership.clock()
    tables, indexes = state.tables, state.indexes
    known_pairs = dispatcher.interference.find_known_pairs(now) if dispatcher.interference is not None else {}
    document = tables.document
    machines_can_leave = document is not None and any(pool.standby for pool in document.pools)
    suspect_load = measure_suspect_load(tables=tables, suspects=indexes.suspects, now_ms=wall_ms())
    withheld = find_withheld_vms(dispatcher.links, state=state, now=now)
    free_by_pool: dict[str, list[FreeCapacity]] = {}
    for vm_id, record in tables.vms.items():
        if vm_id not in vms or vm_id in withheld:
            continue
        link = dispatcher.links.get(vm_id)
        if link is None or not link.in_contact(now) or now < link.orders.paused_until:
            continue
        if link.may_have_restarted():
            continue
        if not record.is_announced or not is_open(dispatcher, record):
            continue
        if link.orders.may_work_on_late_starts(stop_s=link.unlisted.stop_s):
            continue  # one of them could take the VM over its capacity, or join another task of a spread step
        if record.pool in indexes.unguarded_pools and not _is_room_known(link, now=now):
            continue
        free = compute_free_capacity(
            record,
            use=indexes.vm_usage.get(vm_id),
            failures=link.failures,
            is_probed=vm_id in probed,
            awaits_maintenance=vm_id in dispatcher.awaiting_maintenance,
            known_pairs=known_pairs,
            machines_can_leave=machines_can_leave,
            suspect_load=suspect_load.get(vm_id, NO_SUSPECTS),
        )
        free.has_long_lease = link.lease.expires_at - now > MAX_LASTING_WAIT_S
        if link.stopping.missing_since:
            free.reserve_usage(link.stopping.measure_usage(tables))
        free_by_pool.setdefault(record.pool, []).append(free)
    return free_by_pool


def _is_room_known(link: VmLink, *, now: float) -> bool:
    """Returns whether the free room of a VM that rejects nothing is known, with the room of runs that it is stopping."""
    return link.has_current_capacity(now) and not link.may_stop_unknown_runs(now)


__all__ = ["is_open", "list_badly_rated_capacity", "list_free_capacity"]

"""Assesses VMs by the ends of their runs before a round."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hyssopway.event import Event, log_event
from hyssopway.scheduling.racks import RackMap
from hyssopway.scheduling.vm_place import VmPlace

if TYPE_CHECKING:
    from collections import Counter
    from collections.abc import Mapping

    from hyssopway.scheduling.vm_rating import VmRatings
    from hyssopway.workflow import VmRecord


def assess_vms(
    vms: Mapping[str, VmRecord], *, ratings: VmRatings, counters: Counter[str], now: float
) -> None:
    """Updates the ratings of VMs, and logs and counts each change.

    Args:
        vms: Records of VMs by VM ID.
        ratings: Ratings to update.
        counters: Numbers of scheduling decisions.
        now: Local time.
    """
    if ratings.is_settled:
        return
    racks = RackMap(vms)
    places = {vm_id: VmPlace(vm.pool, racks.rack_of(vm_id)) for vm_id, vm in vms.items()}
    for change in ratings.assess(places, now=now):
        counters[f"vms_rated_{change.rating}"] += 1
        log_event(Event.VM_RATED, vm=change.vm, rating=change.rating, reason=change.reason)


__all__ = ["assess_vms"]

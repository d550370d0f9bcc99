"""Finds VMs that get no tasks because they might forget the ends of their runs.

The next boot of a VM may carry out a late poll that acknowledges ends of the boot before. It then forgets an end that
nobody has read, so that its task would start again although it is done.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from .vm_link import VmLink

# Tasks go on where more of a pool is affected, as after a restart of all its VMs.
MAX_SHARE = 0.5


def find_withheld_vms(links: Mapping[str, VmLink], *, now: float) -> set[str]:
    """Returns the IDs of the VMs that get no tasks for now, at most a share of each pool."""
    affected: dict[str, set[str]] = {}
    answering: Counter[str] = Counter()
    for vm_id, link in links.items():
        record = link.record
        if record is None or not link.in_contact(now):
            continue
        answering[record.pool] += 1
        if now < link.acknowledgement.withheld_until:
            affected.setdefault(record.pool, set()).add(vm_id)
    withheld: set[str] = set()
    for pool, vms in affected.items():
        if len(vms) <= MAX_SHARE * answering[pool]:
            withheld |= vms
    return withheld


__all__ = ["find_withheld_vms"]

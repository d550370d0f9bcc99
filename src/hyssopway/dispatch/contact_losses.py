"""Recognises VMs of one rack that end together, so that no task is blamed for it."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from hyssopway.scheduling.racks import RackMap

if TYPE_CHECKING:
    from collections.abc import Mapping

    from hyssopway.workflow import VmRecord

# Connections to the VMs of a rack that fails end within this time of each other.
MAX_RACK_SPREAD_S = 0.2
# A loss is forgotten after this time, which is longer than the end of a VM takes to be noticed.
MEMORY_S = 60.0


class ContactLoss(NamedTuple):
    """The first refused or broken connection of a VM since it last answered.

    Attributes:
        labels: Labels of the VM, one of which names its rack.
        at: Local time in seconds.
    """

    labels: tuple[str, ...]
    at: float


class ContactLosses:
    """Latest loss of contact with each VM, in the present term.

    Attributes:
        losses: Losses by VM ID.
    """

    __slots__ = ("losses",)

    def __init__(self) -> None:
        self.losses: dict[str, ContactLoss] = {}

    def record(self, record: VmRecord, *, at: float) -> None:
        """Records that connections of a VM began to fail."""
        self.losses = {vm_id: loss for vm_id, loss in self.losses.items() if at - loss.at <= MEMORY_S}
        self.losses[record.vm_id] = ContactLoss(record.labels, at)

    def is_shared_by_rack(self, vm_id: str, *, at: float, vms: Mapping[str, VmRecord]) -> bool:
        """Returns whether contact with another VM of the rack was lost at the same time.

        Args:
            vm_id: ID of the VM.
            at: Local time at which its connections began to fail.
            vms: Records of all VMs.
        """
        together = [
            loss
            for other, loss in self.losses.items()
            if other != vm_id and abs(loss.at - at) <= MAX_RACK_SPREAD_S
        ]
        if not together:
            return False
        rack = RackMap(vms).rack_of(vm_id)
        return bool(rack) and any(rack in loss.labels for loss in together)


__all__ = ["MAX_RACK_SPREAD_S", "ContactLosses"]

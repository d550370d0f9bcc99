"""Finds the VMs that fail together with a VM because they are in the same rack.

Needed when a rack goes dark: its VMs are found silent one after another, and a task that is started again must not be
placed on a VM of the same rack that has not been found silent yet.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from hyssopway.workflow import VmRecord


class RackMap:
    """Racks of the registered VMs.

    The labels of a VM name its kind and its rack. The rack is taken to be the label with the fewest VMs, because racks
    are smaller than kinds; a label that all VMs have distinguishes no rack.

    Attributes:
        vms: Records of the VMs by ID.
        vms_by_label: IDs of the VMs with each label.
        found: VMs in the racks that were asked for, by the ID of one of them.
    """

    __slots__ = ("found", "vms", "vms_by_label")

    def __init__(self, vms: Mapping[str, VmRecord]) -> None:
        self.vms = vms
        self.vms_by_label: dict[str, set[str]] = {}
        self.found: dict[str, frozenset[str]] = {}
        for vm_id, vm in vms.items():
            for label in vm.labels:
                self.vms_by_label.setdefault(label, set()).add(vm_id)

    def rack_of(self, vm_id: str) -> str:
        """Returns the rack of a VM; empty if it is unknown."""
        vm = self.vms.get(vm_id)
        labels = [
            label
            for label in reversed(vm.labels if vm is not None else ())
            if len(self.vms_by_label[label]) < len(self.vms)
        ]
        return min(labels, key=lambda label: len(self.vms_by_label[label]), default="")

    def vms_in_rack_of(self, vm_id: str) -> frozenset[str]:
        """Returns the IDs of the VMs in the rack of a VM, including the VM itself."""
        if vm_id not in self.found:
            self.found[vm_id] = frozenset(self.vms_by_label.get(self.rack_of(vm_id), ())) | {vm_id}
        return self.found[vm_id]


__all__ = ["RackMap"]

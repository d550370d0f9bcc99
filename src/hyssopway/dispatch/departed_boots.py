"""Remembers the boots that have departed, so that a late announcement opens none of them again."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from hyssopway.clock import Clock
    from hyssopway.workflow import RegisterVm, VmRecord

# Announcements are delayed by a partition for less.
MEMORY_S = 60.0


class DepartedBoot(NamedTuple):
    """Boot of a VM that has departed.

    Attributes:
        boot: Number of the boot.
        sequence: Number of its last announcement that changed its record.
        departed_at: Local time of its departure.
    """

    boot: int
    sequence: int
    departed_at: float


class DepartedBoots:
    """Boots that have departed a short time ago.

    With the record of a VM, the number of its last announcement is gone. A VM works on for some seconds if the answer to its
    departure is lost.

    Attributes:
        clock: Local monotonic clock in seconds.
        boots: Last boot of each VM that has departed, by VM ID; oldest first.
    """

    __slots__ = ("boots", "clock")

    def __init__(self, *, clock: Clock) -> None:
        self.clock = clock
        self.boots: dict[str, DepartedBoot] = {}

    def record(self, vm: VmRecord) -> None:
        """Records the departure of the boot in the record of a VM."""
        oldest = self.clock() - MEMORY_S
        self.boots = {name: known for name, known in self.boots.items() if known.departed_at > oldest}
        self.boots[vm.vm_id] = DepartedBoot(vm.boot, vm.sequence, self.clock())

    def is_late(self, command: RegisterVm) -> bool:
        """Returns whether an announcement is not later than what its boot had announced when it departed."""
        known = self.boots.get(command.vm)
        return known is not None and command.boot == known.boot and 0 < command.sequence <= known.sequence


__all__ = ["DepartedBoots"]

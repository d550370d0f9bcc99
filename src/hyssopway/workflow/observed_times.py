"""Local times at which this member applied starts of runs and changes of boots.

They bound what the leaders before this one may have ordered last. They are not replicated, as each member has its own clock.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from .tables import Tables

# Wall clocks of two members and of a VM differ by less, also while one of them is being stepped.
WALL_CLOCK_TOLERANCE_S = 5.0
# No order outlives its sender for longer.
MEMORY_S = 60.0


class ObservedTimes:
    """Times at which starts of runs and changes of boots were applied.

    What a snapshot or an old entry of the log tells is dated back by its wall-clock time, less a tolerance; a time that is
    unknown is the present one.

    Attributes:
        clock: Local monotonic clock, in seconds.
        wall_ms: Wall clock, in milliseconds.
        starts: Latest time at which each run in progress was committed, by run key.
        boot_changes: Latest time at which a boot of each VM was replaced or removed, by VM ID.
    """

    __slots__ = ("boot_changes", "clock", "starts", "wall_ms")

    def __init__(self, *, clock: Callable[[], float], wall_ms: Callable[[], int]) -> None:
        self.clock = clock
        self.wall_ms = wall_ms
        self.starts: dict[str, float] = {}
        self.boot_changes: dict[str, float] = {}

    def record_start(self, key: str, *, at_ms: int) -> None:
        """Records that the start of a run was applied.

        Args:
            key: Key of the run.
            at_ms: Wall-clock time at which the start was proposed; 0 if it is unknown.
        """
        self.starts[key] = self._date_back(at_ms)

    def record_ends(self, keys: Collection[str]) -> None:
        """Discards runs that have ended."""
        for key in keys:
            self.starts.pop(key, None)

    def record_boot_change(self, vm: str, *, at_ms: int) -> None:
        """Records that a boot of a VM was replaced or removed.

        Args:
            vm: ID of the VM.
            at_ms: Wall-clock time of the change; 0 if it is unknown.
        """
        oldest = self.clock() - MEMORY_S
        self.boot_changes = {name: at for name, at in self.boot_changes.items() if at > oldest}
        self.boot_changes[vm] = self._date_back(at_ms)

    def restore(self, tables: Tables) -> None:
        """Takes what a snapshot tells."""
        self.starts = {
            run.key: self._date_back(run.started_ms) for runs in tables.runs.values() for run in runs
        }
        self.boot_changes = {
            vm.vm_id: self._date_back(vm.replaced_at_ms) for vm in tables.vms.values() if vm.replaced_at_ms
        }

    def find_start(self, key: str) -> float:
        """Returns the latest local time at which the start of a run in progress may have been committed."""
        return self.starts.get(key, self.clock())

    def find_boot_change(self, vm: str) -> float:
        """Returns the latest local time at which a boot of a VM was replaced or removed; negative infinity if none was."""
        return self.boot_changes.get(vm, float("-inf"))

    def _date_back(self, at_ms: int) -> float:
        if not at_ms:
            return self.clock()
        age_s = (self.wall_ms() - at_ms) / 1000 - WALL_CLOCK_TOLERANCE_S
        return self.clock() - max(0.0, age_s)


__all__ = ["ObservedTimes"]

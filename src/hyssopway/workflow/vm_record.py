"""The replicated record of a worker VM."""

from __future__ import annotations

from dataclasses import dataclass, field

from .capacity import Capacity


@dataclass(slots=True, kw_only=True)
class VmRecord:
    """A worker VM that announced itself.

    Attributes:
        vm_id: ID of the VM instance.
        boot: Wall-clock time of its start in milliseconds; higher after a restart under the same ID.
        address: Host and port of its interface.
        pool: Pool that it belongs to.
        zone: Availability zone.
        labels: Kind and rack.
        capacity: Total capacity for runs.
        draining: Whether it announced that it is draining.
        sequence: Number of the last announcement that changed the record, within this boot.
        last_end: Number of the last reported end of this boot that is committed.
        runs: Keys of runs in progress, ``task/run``.
        lapsed: Keys of runs whose lease ended without contact, while the VM has not been heard since.
        unconfirmed: Those of them of which it is not known whether their start had reached the VM.
        replaced_at_ms: Wall-clock time at which this boot replaced another one under the ID; 0 if it is the first one, or if
            the state had a version before `REPLACED_BOOTS_VERSION` then.
        unreported: Keys of runs of this boot that ended as lapsed and whose end the VM has not reported since.
    """

    vm_id: str
    boot: int
    address: str
    pool: str
    zone: str
    labels: tuple[str, ...]
    capacity: Capacity
    draining: bool = False
    sequence: int = 0
    last_end: int = 0
    runs: set[str] = field(default_factory=set)
    lapsed: set[str] = field(default_factory=set)
    unconfirmed: set[str] = field(default_factory=set)
    unreported: set[str] = field(default_factory=set)
    replaced_at_ms: int = 0

    @property
    def is_announced(self) -> bool:
        """Whether this boot has announced itself.

        A boot that has only answered a poll is known without capacity, and its pool, zone and labels are those of the boot
        before; it may be of another kind.
        """
        return self.capacity != Capacity()


__all__ = ["VmRecord"]

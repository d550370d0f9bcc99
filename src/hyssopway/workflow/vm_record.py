"""A worker VM as agreed."""

from __future__ import annotations

from dataclasses import dataclass, field

from .capacity import Capacity


@dataclass(slots=True, kw_only=True)
class VmRecord:
    """A worker VM that announced itself.

    Attributes:
        vm_id: Identity of this life of the VM.
        boot: Wall-clock milliseconds of its start; a restart under the same identity has a higher one.
        address: Address of its interface.
        pool: Pool that it belongs to.
        zone: Availability zone.
        labels: Kind and rack.
        capacity: What it can run.
        draining: Whether it said that it leaves.
        last_end: Number of the last end of this boot that is agreed.
        runs: Keys of runs in progress, ``task/run``.
    """

    vm_id: str
    boot: int
    address: str
    pool: str
    zone: str
    labels: tuple[str, ...]
    capacity: Capacity
    draining: bool = False
    last_end: int = 0
    runs: set[str] = field(default_factory=set)


__all__ = ["VmRecord"]

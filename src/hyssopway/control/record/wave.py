"""A maintenance wave."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from .wave_status import WaveStatus
from .wave_vm import WaveVm, WaveVmStatus

if TYPE_CHECKING:
    from collections.abc import Iterator


@dataclass(slots=True, kw_only=True)
class Wave:
    """A maintenance wave and the progress of its VMs.

    Attributes:
        wave_id: ID of the wave; also the holder of its permits.
        operator: Operator who started it.
        started_ms: Cluster time of the start in milliseconds.
        status: Status of the wave.
        reason: Why it has this status.
        epoch: Number that rises with each change of status.
        lost_accepted: Number of lost VMs that an operator accepted by resuming the wave.
        vms: Progress by VM name.
    """

    wave_id: str
    operator: str
    started_ms: int
    status: WaveStatus = WaveStatus.RUNNING
    reason: str = ""
    epoch: int = 1
    lost_accepted: int = 0
    vms: dict[str, WaveVm] = field(default_factory=dict)

    def select(self, *statuses: WaveVmStatus) -> Iterator[str]:
        """Yields the names of the VMs that have one of the statuses."""
        return (name for name, vm in self.vms.items() if vm.status in statuses)

    def count(self, *statuses: WaveVmStatus) -> int:
        """Counts the VMs that have one of the statuses."""
        return sum(1 for _ in self.select(*statuses))


__all__ = ["Wave"]

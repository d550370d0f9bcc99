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
    """A wave and the progress of its VMs.

    Attributes:
        wave_id: Identity; also the holder of its permits.
        operator: Who started it.
        started_ms: Time of the leader in milliseconds.
        status: Status.
        reason: Why it has this status.
        epoch: Counts the changes of status.
        lost_accepted: Lost VMs that an operator knew of when resuming.
        vms: Progress by VM.
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
        """Yields the VMs in some statuses."""
        return (name for name, vm in self.vms.items() if vm.status in statuses)

    def count(self, *statuses: WaveVmStatus) -> int:
        """Counts the VMs in some statuses."""
        return sum(1 for _ in self.select(*statuses))


__all__ = ["Wave"]

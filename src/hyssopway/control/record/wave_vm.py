"""Progress of one VM in a maintenance wave."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class WaveVmStatus(StrEnum):
    """Status of a VM in a wave."""

    WAITING = "waiting"
    DRAINING = "draining"
    REBOOTING = "rebooting"
    DONE = "done"
    LOST = "lost"
    REPLACED = "replaced"
    SKIPPED = "skipped"


@dataclass(slots=True, kw_only=True)
class WaveVm:
    """Progress of a VM in a wave.

    Attributes:
        status: Status of the VM in the wave.
        changed_ms: Cluster time of the last change of status in milliseconds.
        boot_id: ID of the worker process before the reboot; the VM is back when a new process syncs.
        reason: Reason of the last change, such as why it was skipped or lost.
    """

    status: WaveVmStatus = WaveVmStatus.WAITING
    changed_ms: int = 0
    boot_id: str = ""
    reason: str = ""


__all__ = ["WaveVm", "WaveVmStatus"]

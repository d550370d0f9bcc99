"""Progress of one VM in a maintenance wave."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class WaveVmStatus(StrEnum):
    """Where a VM stands in a wave."""

    WAITING = "waiting"
    DRAINING = "draining"
    REBOOTING = "rebooting"
    DONE = "done"
    LOST = "lost"
    REPLACED = "replaced"
    SKIPPED = "skipped"


@dataclass(slots=True, kw_only=True)
class WaveVm:
    """A VM in a wave.

    Attributes:
        status: Where it stands.
        changed_ms: Time of the leader in milliseconds of the last change.
        boot_id: Worker process before the reboot; the VM is back when another one syncs.
        reason: Why it was skipped or lost.
    """

    status: WaveVmStatus = WaveVmStatus.WAITING
    changed_ms: int = 0
    boot_id: str = ""
    reason: str = ""


__all__ = ["WaveVm", "WaveVmStatus"]

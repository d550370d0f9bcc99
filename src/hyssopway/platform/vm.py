"""Platform's view of a VM."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum


class PlatformState(StrEnum):
    """State of a VM at the platform."""

    SERVING = "serving"
    DRAINED = "drained"
    REBOOTING = "rebooting"


@dataclass(frozen=True, slots=True, kw_only=True)
class PlatformVm:
    """A VM as the platform reports it.

    Attributes:
        name: Name of the VM.
        state: State at the platform.
        healthy: Health that the platform reports. It is not relied on: a VM has returned only when its worker
            syncs.
        operations: IDs of the operations that the platform completed on it, oldest first.
    """

    name: str
    state: PlatformState
    healthy: bool
    operations: list[str] = field(default_factory=list)


__all__ = ["PlatformState", "PlatformVm"]

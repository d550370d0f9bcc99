"""A VM as the platform reports it."""

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
    """What the platform says of a VM.

    Attributes:
        name: Name of the VM.
        state: State.
        healthy: The platform's own opinion; the VM counts as back only when its worker syncs.
        operations: Ids of the operations that the platform completed on it, latest last.
    """

    name: str
    state: PlatformState
    healthy: bool
    operations: list[str] = field(default_factory=list)


__all__ = ["PlatformState", "PlatformVm"]

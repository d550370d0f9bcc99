"""States of a VM."""

from __future__ import annotations

from enum import StrEnum


class VmState(StrEnum):
    """State of a VM; the table of transitions is in `docs/design.md`."""

    READY = "ready"
    DRAINING = "draining"
    DRAINED = "drained"
    REBOOTING = "rebooting"
    DOWN = "down"
    QUARANTINED = "quarantined"


__all__ = ["VmState"]

"""States of a VM."""

from __future__ import annotations

from enum import StrEnum


class VmState(StrEnum):
    """State of a VM; `docs/design.md` has the table of transitions."""

    READY = "ready"
    DRAINING = "draining"
    DRAINED = "drained"
    REBOOTING = "rebooting"
    DOWN = "down"
    QUARANTINED = "quarantined"


__all__ = ["VmState"]

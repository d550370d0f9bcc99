"""Holders of the permits by which VMs leave their pools for a time."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hyssopway.control.record import Vm, Zone

LENDING = "lending"
_WITHDRAWAL = "withdrawal of "


def holder_of(zone: Zone) -> str:
    """Returns the holder of the permits of a withdrawal."""
    return f"{_WITHDRAWAL}{zone.name}"


def is_away(vm: Vm) -> bool:
    """Tells whether a VM goes back to another pool later; a second move would forget that pool."""
    return vm.moved_for == LENDING or vm.moved_for.startswith(_WITHDRAWAL)


__all__ = ["LENDING", "holder_of", "is_away"]

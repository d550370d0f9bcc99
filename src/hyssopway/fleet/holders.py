"""Holder names of the permits under which VMs leave their pools temporarily."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hyssopway.control.record import Vm, Zone

LENDING = "lending"
_WITHDRAWAL = "withdrawal of "


def withdrawal_holder(zone: Zone) -> str:
    """Returns the name of the holder of a zone withdrawal's permits."""
    return f"{_WITHDRAWAL}{zone.name}"


def is_temporarily_moved(vm: Vm) -> bool:
    """Returns whether a VM is to return to another pool later; a second move would lose that pool's name."""
    return vm.moved_for == LENDING or vm.moved_for.startswith(_WITHDRAWAL)


__all__ = ["LENDING", "is_temporarily_moved", "withdrawal_holder"]

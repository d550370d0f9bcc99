"""How a VM is used, by what happened to its runs."""

from __future__ import annotations

from enum import StrEnum


class Rating(StrEnum):
    """How a VM is used."""

    PREFERRED = "preferred"
    AVOIDED = "avoided"  # gets no task
    PROBED = "probed"  # gets one task at a time, to see whether it has recovered


__all__ = ["Rating"]

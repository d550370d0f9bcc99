"""Pool and rack of a VM."""

from __future__ import annotations

from typing import NamedTuple


class VmPlace(NamedTuple):
    """Pool and rack of a VM.

    Attributes:
        pool: Name of the pool.
        rack: Name of the rack; empty if it is unknown.
    """

    pool: str
    rack: str


__all__ = ["VmPlace"]

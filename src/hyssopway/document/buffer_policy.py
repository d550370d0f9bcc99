"""What the spare capacity must cover."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class BufferPolicy:
    """Losses that must be survived without refusing the mean demand.

    Attributes:
        survive_zone: The largest availability zone.
        survive_rack: The largest rack.
        lend: Whether spare VMs carry work that can be taken back.
    """

    survive_zone: bool = False
    survive_rack: bool = True
    lend: bool = True


__all__ = ["BufferPolicy"]

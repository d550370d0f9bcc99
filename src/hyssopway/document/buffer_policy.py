"""Failures that the spare capacity must cover."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class BufferPolicy:
    """Failures after which the remaining capacity must still cover the mean demand.

    Attributes:
        survive_zone: Whether to cover the loss of the largest availability zone.
        survive_rack: Whether to cover the loss of the largest rack.
        lend: Whether VMs of the required spare capacity may be lent too; their work can be taken back.
    """

    survive_zone: bool = False
    survive_rack: bool = True
    lend: bool = True


__all__ = ["BufferPolicy"]

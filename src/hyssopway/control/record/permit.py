"""A disruption permit."""

from __future__ import annotations

from dataclasses import dataclass

from .permit_purpose import PermitPurpose


@dataclass(slots=True, kw_only=True)
class Permit:
    """The right to stop one VM.

    Attributes:
        vm: The VM.
        purpose: What it is stopped for.
        holder: Wave, withdrawal or operator.
        at_ms: Wall-clock time in milliseconds, for display.
    """

    vm: str
    purpose: PermitPurpose
    holder: str
    at_ms: int


__all__ = ["Permit"]

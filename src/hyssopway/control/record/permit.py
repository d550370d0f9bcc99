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
        at_ms: Agreed time in milliseconds; a drain is overdue counted from here.
        target: New pool of a VM that is to be moved.
        asked: Whether operators were asked about work that does not end.
        stop_work: Whether an operator had the work on the VM stopped.
    """

    vm: str
    purpose: PermitPurpose
    holder: str
    at_ms: int
    target: str = ""
    stop_work: bool = False
    asked: bool = False


__all__ = ["Permit"]

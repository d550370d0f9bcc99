"""A permit to disrupt one VM."""

from __future__ import annotations

from dataclasses import dataclass

from .permit_purpose import PermitPurpose


@dataclass(slots=True, kw_only=True)
class Permit:
    """A disruption permit, which allows its holder to stop one VM.

    Attributes:
        vm: Name of the VM.
        purpose: Purpose of the stop.
        holder: Wave, withdrawal or operator that holds the permit.
        at_ms: Cluster time in milliseconds from which the duration of the drain is counted.
        target: New pool of a VM that is to be moved.
        stop_work: Whether an operator decided to stop the work on the VM.
        asked: Whether operators were asked about the overdue drain.
    """

    vm: str
    purpose: PermitPurpose
    holder: str
    at_ms: int
    target: str = ""
    stop_work: bool = False
    asked: bool = False


__all__ = ["Permit"]

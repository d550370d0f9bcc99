"""Returns a disruption permit."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal


@dataclass(frozen=True, slots=True, kw_only=True)
class ReturnPermit:
    """Ends a planned stop; the VM is ready again unless it is down.

    Attributes:
        vm: Name of the VM.
        holder: Holder of the permit.
        reason: Why, for operators.
    """

    vm: str
    holder: str
    reason: str
    kind: Literal["return_permit"] = "return_permit"


__all__ = ["ReturnPermit"]

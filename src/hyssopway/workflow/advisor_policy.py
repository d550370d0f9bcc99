"""Policy for asking the advisor of a queue which VMs may run a task."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class AdvisorPolicy:
    """Timing of the advisor of a queue; only the advisor knows which VMs may run a step.

    Attributes:
        decision_ms: Fixed duration of a request to the advisor, in milliseconds.
        per_vm_ms: Additional duration for each VM named in the request, in milliseconds.
        validity_ms: How long a ticket from the advisor is valid, in milliseconds.
    """

    decision_ms: float
    per_vm_ms: float
    validity_ms: float


__all__ = ["AdvisorPolicy"]

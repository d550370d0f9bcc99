"""How a queue's tasks get leave to start on a VM."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class AdvisorPolicy:
    """The advisor of a queue, which alone knows the VMs that may run a step.

    Attributes:
        decision_ms: Time that each question takes.
        per_vm_ms: Time that each VM of a question takes.
        validity_ms: How long a ticket is valid.
    """

    decision_ms: float
    per_vm_ms: float
    validity_ms: float


__all__ = ["AdvisorPolicy"]

"""What happened on one VM."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from hyssopway.workflow import TaskId

from .rating import Rating

# Latest runs of a VM that are considered.
RUN_WINDOW = 16
PACE_WINDOW = 8
ORDER_WINDOW = 16
# A VM that turns silent this often within `vm_judgement.FLAP_WINDOW_S` alternates between down and up; a dark rack turns
# silent once.
FLAPS = 2
MIN_PROBE_WAIT_S = 1.0


@dataclass(slots=True, kw_only=True)
class VmEvidence:
    """What happened on one VM since its boot or its last reinstatement.

    Attributes:
        runs: Latest runs that completed or failed, and whether they completed.
        paces: Latest ratios of run durations to those of the same step on other VMs, with the workflows.
        orders: Whether the latest orders were answered; those lost between two answered polls count as one.
        unconfirmed_losses: Unanswered orders since the last answered poll; they count only if the VM is in contact.
        is_silent: Whether the VM is silent.
        silences: Times at which the VM turned silent.
        rating: Current rating.
        reason: What determined the rating.
        probe_due_at: Time of the next probe.
        probe_wait_s: Time between a failed probe and the next one.
        probes: Keys of the probe runs in progress.
        good_probes: Consecutive probe runs that completed at the usual pace.
    """

    runs: deque[tuple[TaskId, bool]] = field(default_factory=lambda: deque(maxlen=RUN_WINDOW))
    paces: deque[tuple[str, float]] = field(default_factory=lambda: deque(maxlen=PACE_WINDOW))
    orders: deque[bool] = field(default_factory=lambda: deque(maxlen=ORDER_WINDOW))
    unconfirmed_losses: int = 0
    is_silent: bool = False
    silences: deque[float] = field(default_factory=lambda: deque(maxlen=FLAPS))
    rating: Rating = Rating.PREFERRED
    reason: str = ""
    probe_due_at: float = 0.0
    probe_wait_s: float = MIN_PROBE_WAIT_S
    probes: set[str] = field(default_factory=set)
    good_probes: int = 0


__all__ = ["VmEvidence"]

"""How long the runs of a VM may go on after the last order."""

from __future__ import annotations

RUN_LEASE_S = 4.0
# The steady clock of a VM may be this much slower than ours.
CLOCK_DRIFT = 0.02
LEASE_SLACK_S = 0.05


class VmLease:
    """Bound on the lease of all runs of one VM.

    The lease is a time on the VM's own steady clock. An estimate of that clock that is never ahead of it, together
    with the drift, bounds when the lease has ended for certain, also for an order that was answered late or not at
    all.

    Attributes:
        length_s: Length of a lease.
        expires_at: Local time after which no run of the VM is under a lease.
        clock_ms: Last reading of the VM's clock; None before the first.
        read_at: Local time at which that reading arrived.
    """

    __slots__ = ("clock_ms", "expires_at", "length_s", "read_at")

    def __init__(self, *, length_s: float, expires_at: float) -> None:
        self.length_s = length_s
        self.expires_at = expires_at
        self.clock_ms: int | None = None
        self.read_at = 0.0

    def record_clock(self, *, clock_ms: int, now: float) -> None:
        """Takes a reading of the VM's clock that arrived now."""
        self.clock_ms = clock_ms
        self.read_at = now

    def forget_clock(self) -> None:
        """Forgets the clock of a boot that has ended."""
        self.clock_ms = None

    def renew(self, *, now: float) -> int | None:
        """Returns the end of a lease that is granted now, on the VM's clock; None while that clock is unknown."""
        if self.clock_ms is None:
            return None
        elapsed_s = (now - self.read_at) * (1 - CLOCK_DRIFT)
        self.expires_at = max(self.expires_at, lease_expiry(granted_at=now, length_s=self.length_s))
        return int(self.clock_ms + (elapsed_s + self.length_s) * 1000)


def lease_expiry(*, granted_at: float, length_s: float) -> float:
    """Returns the local time at which a lease has surely ended on the VM's clock."""
    return granted_at + length_s / (1 - CLOCK_DRIFT) + LEASE_SLACK_S


__all__ = ["RUN_LEASE_S", "VmLease", "lease_expiry"]

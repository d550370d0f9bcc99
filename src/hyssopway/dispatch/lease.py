"""Tracks the lease under which the runs of a VM may continue without contact to the leader."""

from __future__ import annotations

RUN_LEASE_S = 4.0
# The monotonic clock of a VM may run slower than the local one by this share.
CLOCK_DRIFT = 0.02
LEASE_SLACK_S = 0.05
CLOCK_ROUNDING_MS = 2


class VmLease:
    """Lease of all runs of one VM, with an upper bound on its expiry.

    A lease ends at a time on the VM's own monotonic clock. The estimate of that clock is never ahead of it; together
    with the largest clock drift, this bounds the local time by which the lease has certainly expired, even if the
    order that granted it was answered late or not at all.

    Attributes:
        length_s: Length of a lease in seconds.
        expires_at: Local time after which no run of the VM holds a lease.
        granted_until: The same if only what was granted to the present boot counts, and no call for an earlier one.
        clock_ms: Last reading of the VM's clock; None before the first.
        read_at: Local time at which that reading arrived.
    """

    __slots__ = ("clock_ms", "expires_at", "granted_until", "length_s", "read_at")

    def __init__(self, *, length_s: float, expires_at: float) -> None:
        self.length_s = length_s
        self.expires_at = self.granted_until = expires_at
        self.clock_ms: int | None = None
        self.read_at = 0.0

    def record_clock(self, *, clock_ms: int, now: float) -> None:
        """Records a reading of the VM's clock that has just arrived."""
        self.clock_ms = clock_ms
        self.read_at = now

    def replace_boot(self, *, expires_at: float) -> None:
        """Discards the clock of a boot that has ended; the one that follows may hold leases up to a local time."""
        self.clock_ms = None
        self.granted_until = float("-inf")
        self.expires_at = max(self.expires_at, expires_at)

    def limit_inherited(self, *, at: float, longest_s: float) -> float:
        """Limits the leases of calls for earlier boots, which the present one carries out no more from a local time on.

        Args:
            at: That time.
            longest_s: Longest lease that the VM accepts, in seconds.

        Returns:
            By how many seconds the wait for them gets shorter.
        """
        limit = max(self.granted_until, lease_expiry(granted_at=at, length_s=longest_s))
        earlier, self.expires_at = self.expires_at, min(self.expires_at, limit)
        return earlier - self.expires_at

    def is_of_boot(self, clock_ms: int | None, *, sent_at: float) -> bool:
        """Returns whether the boot that was polled last may have answered a call with a reading of its clock.

        Args:
            clock_ms: Clock in the answer; None if the answer has none, and then nothing tells which boot answered.
            sent_at: Local time at which the call was sent.
        """
        least_ms = self.find_least_clock_ms(at=sent_at)
        return clock_ms is not None and least_ms is not None and clock_ms >= least_ms

    def find_least_clock_ms(self, *, at: float) -> int | None:
        """Returns the least reading of the VM's clock that its boot can give at a local time or later.

        An answer with a lower reading comes from another boot. None before the first reading.
        """
        if self.clock_ms is None:
            return None
        return int(self.clock_ms + (at - self.read_at) * (1 - CLOCK_DRIFT) * 1000) - CLOCK_ROUNDING_MS

    def extend(self, *, granted_at: float, length_s: float) -> None:
        """Records that the VM may have granted a lease of the given length, or a shorter one."""
        granted_until = lease_expiry(granted_at=granted_at, length_s=length_s)
        self.granted_until = max(self.granted_until, granted_until)
        self.expires_at = max(self.expires_at, granted_until)

    def renew(self, *, now: float) -> int | None:
        """Grants a lease and returns its end on the VM's clock in ms; returns None while that clock is unknown."""
        if self.clock_ms is None:
            return None
        elapsed_s = (now - self.read_at) * (1 - CLOCK_DRIFT)
        self.extend(granted_at=now, length_s=self.length_s)
        return int(self.clock_ms + (elapsed_s + self.length_s) * 1000)


def lease_expiry(*, granted_at: float, length_s: float) -> float:
    """Returns the local time by which a lease has certainly expired on the VM's clock."""
    return granted_at + length_s / (1 - CLOCK_DRIFT) + LEASE_SLACK_S


__all__ = ["RUN_LEASE_S", "VmLease", "lease_expiry"]

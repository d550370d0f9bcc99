"""State of a leader's orders for one run."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True)
class OrderState:
    """State of the orders to start and stop one run, as far as this leader knows.

    Attributes:
        is_sending: Whether the start is in flight.
        ordered_at: Local time at which this leader first sent the start; infinite if it has not.
        last_sent_at: Local time at which this leader last sent the start; negative infinity if it has not.
        is_connection_broken: Whether a connection ended while the answer to the start was awaited.
        accepted_at: Local time at which the VM first accepted or listed the run; infinite if it has done neither.
        is_listed: Whether this boot of the VM has listed the run.
        has_started_on_boot: Whether this boot certainly started the run: it has listed the run, or the clock in the answer to
            the start is its own.
        stop_requested_at: Local time at which a stop was last sent; negative infinity if none was.
        stopped_at: Local time at which the VM first confirmed a stop; infinite if it hasn't.
        unlisted_since: Local time at which the first list without the run arrived since it was last listed; infinite while
            it is listed.
    """

    is_sending: bool = False
    ordered_at: float = float("inf")
    last_sent_at: float = float("-inf")
    is_connection_broken: bool = False
    accepted_at: float = float("inf")
    is_listed: bool = False
    has_started_on_boot: bool = False
    stop_requested_at: float = float("-inf")
    stopped_at: float = float("inf")
    unlisted_since: float = float("inf")

    @property
    def is_accepted(self) -> bool:
        """Whether the VM accepted the start or listed the run."""
        return self.accepted_at != float("inf")

    @property
    def was_received(self) -> bool:
        """Whether the VM accepted the start, or the connection ended before its answer."""
        return self.is_connection_broken or self.is_accepted

    @property
    def is_start_in_doubt(self) -> bool:
        """Whether an order for the start may reach the next boot of the VM.

        An accepted start does not tell which boot accepted it.
        """
        return self.is_sending or not self.is_listed

    @property
    def is_start_resolved(self) -> bool:
        """Whether the VM accepted the run or was told to stop it, so that the start must not be retried."""
        return self.is_accepted or self.stop_requested_at != float("-inf")


__all__ = ["OrderState"]

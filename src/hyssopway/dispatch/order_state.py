"""What a leader knows of a start that it ordered."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True)
class OrderState:
    """State of one order to start a run.

    Attributes:
        is_sending: Whether the order waits for its answer.
        accepted_at: Local time at which the VM's acceptance arrived; infinite when none did.
        stop_requested_at: Local time at which a stop was last sent.
        stopped_at: Local time at which the answer to a stop arrived; infinite when none did.
        unlisted_since: Local time at which the first of the latest listings without the run was asked for; infinite
            while it is listed.
    """

    is_sending: bool = False
    accepted_at: float = float("inf")
    stop_requested_at: float = float("-inf")
    stopped_at: float = float("inf")
    unlisted_since: float = float("inf")

    @property
    def is_start_settled(self) -> bool:
        """Whether the VM accepted the run or was asked to stop it, so that its start is not repeated."""
        return self.accepted_at != float("inf") or self.stop_requested_at != float("-inf")


__all__ = ["OrderState"]

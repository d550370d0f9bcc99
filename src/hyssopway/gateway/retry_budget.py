"""Limits retries to a fraction of successful attempts."""

from __future__ import annotations

RETRIES_PER_SUCCESS = 0.1
# Retries available before the first success, and the maximum that can accumulate.
INITIAL_BALANCE = 2.0
MAX_BALANCE = 20.0


class RetryBudget:
    """Token bucket for retries, refilled by successful attempts.

    Attributes:
        balance: Number of available retries.
    """

    __slots__ = ("balance",)

    def __init__(self) -> None:
        self.balance = INITIAL_BALANCE

    def record_success(self) -> None:
        """Adds a tenth of a retry to the balance."""
        self.balance = min(MAX_BALANCE, self.balance + RETRIES_PER_SUCCESS)

    def acquire(self) -> bool:
        """Spends one retry; returns whether one was available."""
        if self.balance < 1.0:
            return False
        self.balance -= 1.0
        return True


__all__ = ["RetryBudget"]

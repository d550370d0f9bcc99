"""Limits retries to a part of what succeeds."""

from __future__ import annotations

PART = 0.1
# Retries that a process may make before its first successes, and the most that it saves up.
FIRST = 2.0
MOST = 20.0


class RetryBudget:
    """Retries that may still be made.

    Attributes:
        balance: Retries left.
    """

    __slots__ = ("balance",)

    def __init__(self) -> None:
        self.balance = FIRST

    def succeeded(self) -> None:
        """Adds a tenth of a retry."""
        self.balance = min(MOST, self.balance + PART)

    def take(self) -> bool:
        """Takes a retry if one is left."""
        if self.balance < 1.0:
            return False
        self.balance -= 1.0
        return True


__all__ = ["RetryBudget"]

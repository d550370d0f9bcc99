"""Chooses calls to a worker VM that are carried out late, by whichever boot the VM has by then."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

# Most calls are carried out soon, so that the next boot meets them before anybody has heard of it.
SOON_SHARE = 0.7
SOON_S = (0.3, 2.0)
# A call without a response may be executed this long after it was sent.
MAX_DELAY_S = 12.0


class HeldCalls:
    """Calls to one VM that are held back.

    Attributes:
        rng: Random source, apart from that of the VM.
        share: Share of calls that are held back now.
        carried_over: Number of calls that a later boot carried out than they were sent to, by name.
    """

    def __init__(self, *, rng: random.Random) -> None:
        self.rng = rng
        self.share = 0.0
        self.carried_over: Counter[str] = Counter()

    def is_chosen(self) -> bool:
        """Returns whether the call that has just arrived is held back."""
        return bool(self.share) and self.rng.random() < self.share

    def choose_delay_s(self) -> float:
        """Returns the time in seconds after which a call is carried out."""
        is_soon = self.rng.random() < SOON_SHARE
        return self.rng.uniform(*SOON_S) if is_soon else self.rng.uniform(SOON_S[1], MAX_DELAY_S)


__all__ = ["HeldCalls"]

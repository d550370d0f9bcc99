"""When this process reached recent log indexes."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from hyssopway.replica.freshness import AUTHORITY_TTL_S

if TYPE_CHECKING:
    from collections.abc import Callable

    from hyssopway.clock import Clock

SAMPLE_S = 0.25
# Twice the authority age limit: an older sample has nothing left to say.
MAX_SAMPLES = int(2 * AUTHORITY_TTL_S / SAMPLE_S)


class AppliedTimes:
    """Samples of the applied index.

    A process that lacks a change was last confirmed before the change was committed, and the change was
    committed before it was seen here. Its authority therefore ends one age limit after the first sample
    that contains the change, whatever keeps it apart.

    Attributes:
        clock: Monotonic seconds.
        read_index: Returns the applied index.
        samples: Local time and applied index, oldest first.
    """

    __slots__ = ("clock", "read_index", "samples")

    def __init__(self, *, clock: Clock, read_index: Callable[[], int]) -> None:
        self.clock = clock
        self.read_index = read_index
        self.samples: deque[tuple[float, int]] = deque(maxlen=MAX_SAMPLES)

    def sample(self) -> None:
        """Takes a sample when the index changed or the last sample is old."""
        now, index = self.clock(), self.read_index()
        if not self.samples or self.samples[-1][1] != index or now - self.samples[-1][0] >= SAMPLE_S:
            self.samples.append((now, index))

    def old_ends_in_s(self, index: int) -> float | None:
        """Returns the seconds until no process acts with authority on state older than an index.

        Returns:
            0 when this is surely so already, None when this process has not reached the index itself.
        """
        self.sample()
        seen_at = next((at for at, applied in self.samples if applied >= index), None)
        return None if seen_at is None else max(0.0, seen_at + AUTHORITY_TTL_S - self.clock())


__all__ = ["SAMPLE_S", "AppliedTimes"]

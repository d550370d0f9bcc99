"""Times at which this process applied recent log indexes."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from hyssopway.replica.freshness import AUTHORITY_TTL_S

if TYPE_CHECKING:
    from collections.abc import Callable

    from hyssopway.clock import Clock

SAMPLE_S = 0.25
# Covers twice the authority TTL. The authority that an older sample bounds has already expired.
MAX_SAMPLES = int(2 * AUTHORITY_TTL_S / SAMPLE_S)


class AppliedIndexHistory:
    """Samples the applied index over time to tell when authority on older state has expired.

    A process that lacks a change was last confirmed before the change was committed, and the change was
    committed before it was applied here. The authority of that process therefore expires at the latest one
    authority TTL after the first sample that contains the change, even if the process is partitioned.

    Attributes:
        clock: Monotonic seconds.
        read_index: Returns the applied index.
        samples: Pairs of local time in seconds and applied index, oldest first.
    """

    __slots__ = ("clock", "read_index", "samples")

    def __init__(self, *, clock: Clock, read_index: Callable[[], int]) -> None:
        self.clock = clock
        self.read_index = read_index
        self.samples: deque[tuple[float, int]] = deque(maxlen=MAX_SAMPLES)

    def sample(self) -> None:
        """Takes a sample if the index changed or the sampling interval has passed."""
        now, index = self.clock(), self.read_index()
        if not self.samples or self.samples[-1][1] != index or now - self.samples[-1][0] >= SAMPLE_S:
            self.samples.append((now, index))

    def stale_authority_left_s(self, index: int) -> float | None:
        """Returns the seconds until no process has authority on state older than an index.

        Returns:
            0 if that is certain already, None if this process has not applied the index yet.
        """
        self.sample()
        seen_at = next((at for at, applied in self.samples if applied >= index), None)
        return None if seen_at is None else max(0.0, seen_at + AUTHORITY_TTL_S - self.clock())


__all__ = ["SAMPLE_S", "AppliedIndexHistory"]

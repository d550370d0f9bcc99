"""Follows how the demand of a pool rises and falls."""

from __future__ import annotations

import math

# A pool keeps its size for a moment after its demand has fallen, so that machines do not go to and fro.
DECAY_S = 1.0
# The rise is measured over this span; the arrivals of one moment say little.
RISE_SPAN_S = 1.0


class DemandTrend:
    """Recent peak and rise of one pool's demand.

    Attributes:
        peak: Largest demand of the last moments, falling with time.
        samples: Recent samples as local time and demand.
    """

    __slots__ = ("peak", "samples")

    def __init__(self) -> None:
        self.peak = 0.0
        self.samples: list[tuple[float, float]] = []

    def add(self, *, now: float, demand: float) -> None:
        """Takes a sample."""
        if self.samples:
            elapsed_s = now - self.samples[-1][0]
            self.peak *= math.exp(-elapsed_s / DECAY_S)
        self.peak = max(self.peak, demand)
        self.samples.append((now, demand))
        while len(self.samples) > 1 and now - self.samples[1][0] >= RISE_SPAN_S:
            self.samples.pop(0)

    def rise_per_s(self) -> float:
        """Returns how fast the demand grows; negative when it falls."""
        first, last = self.samples[0], self.samples[-1]
        span_s = last[0] - first[0]
        return (last[1] - first[1]) / span_s if span_s >= RISE_SPAN_S / 2 else 0.0


__all__ = ["DemandTrend"]

"""Estimate of the interference of one best-effort image with one latency-bound image."""

from __future__ import annotations

from dataclasses import dataclass
from math import log

# Ratios of tail latency to its target above which pace control decreases the pace, and below which it increases it.
DECREASE_RATIO = 0.85
INCREASE_RATIO = 0.65
# Factor by which one neighbour at full pace raises the tail of a pair that disturbs. A larger rise takes a task from
# the limit at which the pace is increased beyond the one at which it is decreased, so that the neighbour never settles
# at full pace.
DISTURBING_RISE = DECREASE_RATIO / INCREASE_RATIO
# Standard errors between an estimate and that factor from which a pair is known, and down to which it stays known.
MIN_CONFIDENCE = 2.5
MIN_KEPT_CONFIDENCE = 1.0
# Weighted sum of the paces of the neighbour in all readings from which a pair can become known. A neighbour that is
# paused as soon as its effect shows gives 0.3 at each arrival: one reading at half pace after 0.6 s.
MIN_READINGS = 0.25


@dataclass(slots=True)
class PairEstimate:
    """Interference of one best-effort image with one latency-bound image.

    Attributes:
        seen_at: Local time in seconds of the last reading or pace.
        percent: Last pace that some VM reached for the pair, in percent; None before the first.
        rise: Estimated logarithm of the factor by which one neighbour at full pace raises the tail.
        confidence: Distance of the estimate from `DISTURBING_RISE` in standard errors, without sign.
        readings: Weighted sum of the paces of the neighbour in all readings, 1.0 for a reading at full pace.
        is_known: Whether the confidence suffices for decisions.
        disturbing_at: Local time in seconds at which the pair was last known to disturb.
    """

    seen_at: float
    percent: int | None = None
    rise: float = 0.0
    confidence: float = 0.0
    readings: float = 0.0
    is_known: bool = False
    disturbing_at: float = float("-inf")

    @property
    def disturbs(self) -> bool:
        """Whether the pair is known to disturb; a pair that is known and does not disturb is harmless."""
        return self.is_known and self.rise > log(DISTURBING_RISE)

    @property
    def effect(self) -> str:
        """Effect as the state dump shows it: unknown, disturbs or harmless."""
        if not self.is_known:
            return "unknown"
        return "disturbs" if self.disturbs else "harmless"

    def assess(self, *, rise: float, error: float, readings: float) -> None:
        """Updates the estimate.

        Args:
            rise: Logarithm of the factor by which the tail rises.
            error: Its standard error.
            readings: Weighted sum of the paces in all readings.
        """
        self.rise, self.readings = rise, readings
        self.confidence = abs(rise - log(DISTURBING_RISE)) / error
        if self.is_known:
            self.is_known = self.confidence >= MIN_KEPT_CONFIDENCE
        else:
            self.is_known = self.confidence >= MIN_CONFIDENCE and readings >= MIN_READINGS


__all__ = ["DECREASE_RATIO", "DISTURBING_RISE", "INCREASE_RATIO", "PairEstimate"]

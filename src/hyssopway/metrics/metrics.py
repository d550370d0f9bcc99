"""Counters and latency histograms (``hdrhistogram``) of one process."""

from __future__ import annotations

from collections import Counter
from typing import Any

LOWEST_US = 1
HIGHEST_US = 3_600_000_000
SIGNIFICANT_DIGITS = 2
PERCENTILES = (50.0, 90.0, 99.0, 99.9)


class Metrics:
    """Latency histograms and counters by name.

    Attributes:
        histograms: Latency histograms in microseconds.
        counters: Counts since the start of the process.
    """

    __slots__ = ("counters", "histograms")

    def __init__(self) -> None:
        self.histograms: dict[str, Any] = {}
        self.counters: Counter[str] = Counter()

    def record(self, name: str, *, seconds: float) -> None:
        """Records one latency, clamped to the range of the histogram."""
        histogram = self.histograms.get(name)
        if histogram is None:
            histogram = self.histograms[name] = _new_histogram()
        histogram.record_value(max(LOWEST_US, min(HIGHEST_US, round(seconds * 1e6))))

    def count(self, name: str, *, amount: int = 1) -> None:
        """Increments a counter."""
        self.counters[name] += amount

    def encode(self) -> dict[str, Any]:
        """Encodes all metrics for `merge` in another process."""
        encoded = {name: histogram.encode().decode() for name, histogram in self.histograms.items()}
        return {"histograms": encoded, "counters": dict(self.counters)}

    def merge(self, encoded: dict[str, Any]) -> None:
        """Adds the encoded metrics of another process."""
        for name, text in encoded["histograms"].items():
            self.histograms.setdefault(name, _new_histogram()).decode_and_add(text)
        self.counters.update(encoded["counters"])

    def summarise(self) -> dict[str, Any]:
        """Returns counters, and counts and percentiles (milliseconds) of all latencies."""
        latencies = {name: _summarise(histogram) for name, histogram in sorted(self.histograms.items())}
        return {"latencies_ms": latencies, "counters": dict(sorted(self.counters.items()))}


def _new_histogram() -> Any:
    # Imported with the first latency, because a process listens before it has one.
    from hdrh.histogram import HdrHistogram  # noqa: PLC0415

    return HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)


def _summarise(histogram: Any) -> dict[str, float]:
    summary = {f"p{p:g}": histogram.get_value_at_percentile(p) / 1000 for p in PERCENTILES}
    return {"count": histogram.get_total_count(), **summary, "max": histogram.get_max_value() / 1000}


__all__ = ["Metrics"]

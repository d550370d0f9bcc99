"""Interference of best-effort tasks with latency-bound tasks on the same VM, by pair of images.

Addresses loads in which best-effort images raise the tail latency of latency-bound images by amounts that differ by
image and change within seconds, while the load of a latency-bound task alone has the same effect.

For each latency-bound image, the logarithm of the tail latency is modelled as a baseline (own load) plus one term for
each best-effort image, proportional to its exposure: the sum of the paces of its runs on the VM. The terms are the
solution of a ridge regression over readings with exponentially decaying weights, taken from all VMs. Neighbours that
are paused, slowed or absent give the baseline, so a rise that continues without them counts as own load.
"""

from __future__ import annotations

from collections import Counter
from math import exp, log
from typing import TYPE_CHECKING, Any

from .image_interference import ImageInterference

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from .latency_sample import LatencySample
    from .pair_estimate import PairEstimate

FULL_PERCENT = 100
# Pace in percent of a best-effort task beside an image that it has not run with before.
FIRST_PERCENT = 50
# Readings of one run within this time count as one, because successive values of its load are correlated.
READING_INTERVAL_S = 1.0
# Share of its target that the tail is to reach at the initial pace; between the two limits of pace control.
INITIAL_TAIL_RATIO = 0.75
MAX_SERVING_IMAGES = 32
# Bounds the time of one call to about 2 ms with the most images; the others follow in the next calls.
MAX_SOLUTIONS = 4
# A pair is reported again only after it has not been known to disturb for this time.
REPORT_INTERVAL_S = 10.0


class InterferenceModel:
    """Estimates which pairs of images disturb each other, and the pace to begin with for each pair.

    The state is soft: it is bounded, starts empty with each term, and pairs below the confidence count as if there were
    no estimate.

    Attributes:
        is_enabled: Whether estimates are used for decisions. Otherwise they are only learned and shown.
        counters: Counts pairs found and the time that latency-bound runs spend over their target.
        images: Readings by latency-bound image, the least recently seen first.
    """

    __slots__ = ("counters", "images", "is_enabled")

    def __init__(self, *, is_enabled: bool = True, counters: Counter[str] | None = None) -> None:
        self.is_enabled = is_enabled
        self.counters: Counter[str] = Counter() if counters is None else counters
        self.images: dict[str, ImageInterference] = {}

    def count_time(self, sample: LatencySample, *, elapsed_s: float, has_neighbours: bool) -> None:
        """Counts the time of a latency-bound run, and how much of it the run was over its target."""
        place = "beside_best_effort" if has_neighbours else "alone"
        elapsed_ms = round(elapsed_s * 1000)
        self.counters[f"serving_{place}_ms"] += elapsed_ms
        if sample.tail_ms > sample.target_ms:
            self.counters[f"serving_over_target_{place}_ms"] += elapsed_ms

    def learn(
        self, sample: LatencySample, *, exposures: Mapping[str, float], elapsed_s: float, now: float
    ) -> None:
        """Adds a reading that was taken under constant exposures.

        Args:
            sample: Tail latency of a run.
            exposures: Sum of the paces of the best-effort runs on the VM by image, 1.0 for one run at full pace.
            elapsed_s: Time in seconds since the last reading of the run.
            now: Local time in seconds.
        """
        if sample.tail_ms <= 0:
            return
        weight = min(1.0, elapsed_s / READING_INTERVAL_S)
        self._touch(sample.image, now=now).add(
            tail_ms=sample.tail_ms, exposures=exposures, weight=weight, now=now
        )

    def record_pace(self, pairs: Iterable[tuple[str, str]], *, percent: int, now: float) -> None:
        """Records the pace that some VM has reached."""
        for serving, best_effort in pairs:
            self._touch(serving, now=now).touch(best_effort, now=now).percent = percent

    def initial_percent(
        self, pairs: Iterable[tuple[str, str]], *, targets_ms: Mapping[str, int], now: float
    ) -> int:
        """Returns the pace to begin with: the lowest of all pairs.

        A pair that is known gets the pace at which the estimated tail reaches `INITIAL_TAIL_RATIO` of the target; any
        other pair gets the last pace that some VM reached.

        Args:
            pairs: Latency-bound and best-effort image of each pair.
            targets_ms: Target of the tail latency in milliseconds by latency-bound image.
            now: Local time in seconds.
        """
        return min(
            self._initial_percent(*pair, target_ms=targets_ms.get(pair[0], 0), now=now) for pair in pairs
        )

    def find_known_pairs(self, now: float) -> dict[tuple[str, str], bool]:
        """Returns whether each known pair disturbs; empty while estimates are not used for decisions."""
        if not self.is_enabled:
            return {}
        self._solve(now)
        return {
            (serving, best_effort): pair.disturbs
            for serving, image in self.images.items()
            for best_effort, pair in image.pairs.items()
            if pair.is_known
        }

    def take_new_findings(self, now: float) -> list[tuple[str, str, PairEstimate]]:
        """Returns pairs that were found to disturb and have not been reported recently, and counts them."""
        findings = []
        self._solve(now)
        for serving, image in self.images.items():
            for best_effort, pair in image.pairs.items():
                if not pair.disturbs:
                    continue
                if now - pair.disturbing_at >= REPORT_INTERVAL_S:
                    findings.append((serving, best_effort, pair))
                pair.disturbing_at = now
        self.counters["interference_pairs_found"] += len(findings)
        return findings

    def dump(self) -> dict[str, Any]:
        """Returns all estimates, for the state dump."""
        return {
            "is_enabled": self.is_enabled,
            "images": {
                serving: {
                    "baseline_ms": image.baseline_ms,
                    "pairs": {
                        best_effort: {
                            "factor": exp(pair.rise),
                            "confidence": pair.confidence,
                            "readings": pair.readings,
                            "percent": pair.percent,
                            "effect": pair.effect,
                        }
                        for best_effort, pair in image.pairs.items()
                    },
                }
                for serving, image in self.images.items()
            },
        }

    def _initial_percent(self, serving: str, best_effort: str, *, target_ms: int, now: float) -> int:
        image = self.images.get(serving)
        pair = image.pairs.get(best_effort) if image is not None else None
        if image is None or pair is None:
            return FIRST_PERCENT
        image.solve(now=now)
        if not self.is_enabled or not pair.is_known or image.baseline_ms is None or not target_ms:
            return FIRST_PERCENT if pair.percent is None else pair.percent
        if not pair.disturbs:
            return FULL_PERCENT
        possible_rise = log(INITIAL_TAIL_RATIO * target_ms / image.baseline_ms)
        return max(0, min(FULL_PERCENT, int(FULL_PERCENT * possible_rise / pair.rise)))

    def _solve(self, now: float) -> None:
        longest_ago = sorted(self.images.values(), key=lambda image: image.solved_at)
        for image in longest_ago[:MAX_SOLUTIONS]:
            image.solve(now=now)

    def _touch(self, serving: str, *, now: float) -> ImageInterference:
        image = self.images.pop(serving, None)
        if image is None:
            image = ImageInterference(now=now)
            if len(self.images) >= MAX_SERVING_IMAGES:
                del self.images[next(iter(self.images))]
        self.images[serving] = image
        return image


__all__ = ["FIRST_PERCENT", "FULL_PERCENT", "MAX_SERVING_IMAGES", "InterferenceModel"]

"""Pace control: the share of their full speed at which best-effort tasks run beside latency-bound tasks.

The response time of a latency-bound task rises for two reasons that look alike: interference of best-effort tasks on
the same VM, which differs by image and changes within seconds, and the load of the task itself. Best-effort tasks are
slowed first; when the target is still missed while they are paused, the cause is the task's own load and they resume.

The control is additive increase and multiplicative decrease, as in congestion control (Chiu and Jain, "Analysis of the
Increase and Decrease Algorithms for Congestion Avoidance in Computer Networks", 1989).
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from hyssopway.scheduling.interference import FULL_PERCENT
from hyssopway.scheduling.pair_estimate import DECREASE_RATIO, INCREASE_RATIO

if TYPE_CHECKING:
    from collections.abc import Iterable

    from hyssopway.scheduling.interference import InterferenceModel
    from hyssopway.scheduling.latency_sample import LatencySample

# Latency ratio from which a decrease pauses best-effort tasks at once.
PAUSE_RATIO = 1.5
DECREASE_FACTOR = 0.5
# A decrease below this percentage pauses best-effort tasks, so that the cause is known within two seconds.
MIN_PERCENT = 20
INCREASE_PERCENT = 10
MIN_INCREASE_INTERVAL_S = 1.0
# Each decrease doubles the interval until the next increase, up to this limit.
MAX_INCREASE_INTERVAL_S = 16.0
# A sample covers the last half second.
SAMPLE_WINDOW_S = 0.5
# Time after which own load is checked again: it may have fallen so far that the interference is now the cause.
OWN_LOAD_RECHECK_S = 2.0


class PaceControl:
    """Controls the pace of the best-effort tasks on one VM, which all run at the same pace.

    Attributes:
        interference: Paces that the controls of all VMs have reached, and estimates by pair of images.
        settle_s: Time in seconds from an order until a sample shows only latency under the new pace.
        percent: Present pace in percent of full speed.
        changed_at: Local time of the last change of the pace.
        increase_interval_s: Time in seconds since the last change after which the pace may be increased.
        own_load_until: Local time until which the own load of latency-bound tasks counts as the cause.
        images: Pairs of latency-bound and best-effort image that the pace is for.
    """

    __slots__ = (
        "changed_at",
        "images",
        "increase_interval_s",
        "interference",
        "own_load_until",
        "percent",
        "settle_s",
    )

    def __init__(self, *, interference: InterferenceModel, pacing_s: float) -> None:
        self.interference = interference
        self.settle_s = pacing_s + SAMPLE_WINDOW_S
        self.percent = FULL_PERCENT
        self.changed_at = float("-inf")
        self.increase_interval_s = MIN_INCREASE_INTERVAL_S
        self.own_load_until = float("-inf")
        self.images: frozenset[tuple[str, str]] = frozenset()

    def choose_percent(
        self, *, latency_bound: list[LatencySample], best_effort: Iterable[str], now: float
    ) -> int:
        """Updates the pace of all best-effort tasks and returns it in percent of full speed.

        Args:
            latency_bound: Samples of the latency-bound tasks that run.
            best_effort: Images of the best-effort tasks.
            now: Local time in seconds.
        """
        images = frozenset((one.image, image) for one in latency_bound for image in best_effort)
        if not images:
            self.images = images
            self.percent = FULL_PERCENT
            return self.percent
        if not images <= self.images:
            targets_ms = {one.image: one.target_ms for one in latency_bound}
            initial = self.interference.initial_percent(images, targets_ms=targets_ms, now=now)
            self._set_percent(min(self.percent, initial), now=now)
        self.images = images
        latency_ratio = max(one.tail_ms / one.target_ms for one in latency_bound)
        if now - self.changed_at >= self.settle_s:
            self._adjust(latency_ratio, now=now)
        return self.percent

    def _adjust(self, latency_ratio: float, *, now: float) -> None:
        if now < self.own_load_until:
            return
        if latency_ratio > 1.0 and self.percent == 0:
            # Best-effort tasks are paused and the target is still missed.
            self.own_load_until = now + OWN_LOAD_RECHECK_S
            self._set_percent(FULL_PERCENT, now=now)
        elif latency_ratio > DECREASE_RATIO and self.percent > 0:
            decreased = int(self.percent * DECREASE_FACTOR)
            is_gradual = (
                latency_ratio < PAUSE_RATIO and decreased >= MIN_PERCENT and not self._was_own_load(now)
            )
            self._set_percent(decreased if is_gradual else 0, now=now)
            self.increase_interval_s = min(MAX_INCREASE_INTERVAL_S, 2 * self.increase_interval_s)
            self.interference.record_pace(self.images, percent=self.percent, now=now)
        elif latency_ratio < INCREASE_RATIO and now - self.changed_at >= self.increase_interval_s:
            self.interference.record_pace(self.images, percent=self.percent, now=now)
            if self.percent:
                self.increase_interval_s = max(MIN_INCREASE_INTERVAL_S, self.increase_interval_s / 2)
            self._set_percent(min(FULL_PERCENT, self.percent + INCREASE_PERCENT), now=now)

    def _was_own_load(self, now: float) -> bool:
        return now - self.own_load_until < OWN_LOAD_RECHECK_S

    def _set_percent(self, percent: int, *, now: float) -> None:
        if percent != self.percent:
            self.percent = percent
            self.changed_at = now


__all__ = ["FULL_PERCENT", "PaceControl"]

"""Decides at which share of their work tasks that fill may run beside tasks that serve.

Answers the load pattern of serving tasks whose response times rise for two reasons that look alike: the tasks that
fill beside them, by amounts that differ by image and change within seconds, and their own load. Tasks that fill are
slowed first; where a stop of all of them changes nothing, the load is the serving task's own and they go on.

The steps are those of congestion control, a multiplicative decrease and an additive increase (Chiu and Jain, "Analysis
of the Increase and Decrease Algorithms for Congestion Avoidance in Computer Networks", 1989).
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .pace_history import PaceHistory

FULL_PERCENT = 100
# Parts of the target at which tasks that fill lose or get back a part of their share.
CUT_AT = 0.85
GIVE_BACK_AT = 0.65
# Far above the target a cut goes to nothing at once.
STOP_AT = 1.5
CUT_FACTOR = 0.5
# Below this share a cut goes to nothing, so that the cause is known within two seconds.
LEAST_PERCENT = 20
GIVE_BACK_PERCENT = 10
GIVE_BACK_S = 1.0
# Each share that had to be cut again doubles the time until the next try.
MAX_GIVE_BACK_S = 16.0
# A reading covers the last half second.
READING_S = 0.5
# Own load is checked again after this time; the load may have fallen below what the tasks that fill add.
OWN_LOAD_S = 2.0


@dataclass(frozen=True, slots=True, kw_only=True)
class ServingReading:
    """How a serving task does.

    Attributes:
        image: What it runs.
        target_ms: Tail of the response time that it must keep.
        tail_ms: That tail over the last half second.
    """

    image: str
    target_ms: int
    tail_ms: int


class PaceControl:
    """Share of the tasks that fill on one VM.

    Attributes:
        memory: Shares that were kept on other VMs.
        settle_s: Time from an order until a reading shows its effect alone.
        percent: Present share.
        changed_at: Local time of the last change.
        give_back_s: Time for which the target must be kept before a part is given back.
        own_load_until: Local time until which the serving tasks' own load is taken for the cause.
        images: Serving and filling images that the share is for.
    """

    __slots__ = (
        "changed_at",
        "give_back_s",
        "history",
        "images",
        "own_load_until",
        "percent",
        "settle_s",
    )

    def __init__(self, *, history: PaceHistory, pacing_s: float) -> None:
        self.history = history
        self.settle_s = pacing_s + READING_S
        self.percent = FULL_PERCENT
        self.changed_at = float("-inf")
        self.give_back_s = GIVE_BACK_S
        self.own_load_until = float("-inf")
        self.images: frozenset[tuple[str, str]] = frozenset()

    def choose(self, *, serving: list[ServingReading], filling: Iterable[str], now: float) -> int:
        """Returns the share of all tasks that fill, in percent.

        Args:
            serving: Readings of the serving tasks that are at work.
            filling: Images of the tasks that fill.
            now: Local time.
        """
        images = frozenset((one.image, image) for one in serving for image in filling)
        if not images:
            self.images = images
            self.percent = FULL_PERCENT
            return self.percent
        if not images <= self.images:
            self._change(min(self.percent, self.history.read(images)), now=now)
        self.images = images
        pressure = max(one.tail_ms / one.target_ms for one in serving)
        if now - self.changed_at >= self.settle_s:
            self._follow(pressure, now=now)
        return self.percent

    def _follow(self, pressure: float, *, now: float) -> None:
        if now < self.own_load_until:
            return
        if pressure > 1.0 and self.percent == 0:
            # Nothing fills any more and the target is still missed.
            self.own_load_until = now + OWN_LOAD_S
            self._change(FULL_PERCENT, now=now)
        elif pressure > CUT_AT and self.percent > 0:
            cut = int(self.percent * CUT_FACTOR)
            is_slight = pressure < STOP_AT and cut >= LEAST_PERCENT and not self._was_own_load(now)
            self._change(cut if is_slight else 0, now=now)
            self.give_back_s = min(MAX_GIVE_BACK_S, 2 * self.give_back_s)
            self.history.note(self.images, percent=self.percent)
        elif pressure < GIVE_BACK_AT and now - self.changed_at >= self.give_back_s:
            self.history.note(self.images, percent=self.percent)
            if self.percent:
                self.give_back_s = max(GIVE_BACK_S, self.give_back_s / 2)
            self._change(min(FULL_PERCENT, self.percent + GIVE_BACK_PERCENT), now=now)

    def _was_own_load(self, now: float) -> bool:
        return now - self.own_load_until < OWN_LOAD_S

    def _change(self, percent: int, *, now: float) -> None:
        if percent != self.percent:
            self.percent = percent
            self.changed_at = now


__all__ = ["FULL_PERCENT", "PaceControl", "ServingReading"]

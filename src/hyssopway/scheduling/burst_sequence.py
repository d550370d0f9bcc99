"""Expects the next burst of arrivals of a pool from the order in which the bursts of the pools followed each other.

Addresses queues that burst in turn: machines that are ordered when a burst has begun arrive about 2 s later, which is
half of its duration. Steady and random arrivals have no bursts, so nothing is expected of them.

The bursts are found anew from the arrivals of the last two minutes at each update, so that a new leader that reads
them from the replicated workflows expects the same as its predecessor.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, replace
from itertools import accumulate, pairwise
from math import sqrt
from statistics import median
from typing import TYPE_CHECKING, Generic, TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable

BIN_MS = 250
HISTORY_BINS = 480
# Arrivals are judged by their number in a window of this many bins, which is 1 s.
WINDOW_BINS = 4
# A burst begins when the window holds this many times the mean, and more than random variation explains.
BURST_FACTOR = 2.0
ONSET_DEVIATIONS = 3.0
MIN_ONSET = 4
# A burst that has ended counts only if it is too long and too large for random variation; the limit for a begin is
# lower, because a burst is of use only while it is recognised early.
MIN_BURST_BINS = 8
BURST_DEVIATIONS = 6.0
MIN_BURST_ARRIVALS = 8
# Demand is expected for the arrivals of the first 2 s; the rest is forecast from the arrivals once they are there.
FIRST_BINS = 8
LAG_TOLERANCE = 0.2
DROP_AFTER_MS = 1000.0
# The begin of a burst is known to about this precision, so two begins that are closer are not told apart.
MIN_LAG_MS = 1000.0
# Begins are known to within about 0.4 s and machines are planned every 0.25 s, so machines are ordered this much earlier.
MARGIN_MS = 500.0
# Arrivals that lie further in the future were accepted under another wall clock.
MAX_CLOCK_LEAD_BINS = 4

T = TypeVar("T")


@dataclass(frozen=True, slots=True, kw_only=True)
class Burst:
    """A burst of arrivals.

    Attributes:
        pool: Name of the pool.
        start_ms: Wall-clock time of its begin.
    """

    pool: str
    start_ms: float


@dataclass(frozen=True, slots=True, kw_only=True)
class ExpectedBurst:
    """A burst that is expected to begin.

    Attributes:
        pool: Name of the pool.
        follows: Pool whose burst precedes it.
        after_ms: Wall-clock time at which the preceding burst began.
        start_ms: Wall-clock time at which it is expected to begin.
        demand_millis: CPU demand that the last burst of the pool reached in its first seconds, in millicores.
    """

    pool: str
    follows: str
    after_ms: float
    start_ms: float
    demand_millis: float


class PoolArrivals(Generic[T]):
    """Arrivals of one pool.

    Attributes:
        counts: Number of arrivals in each bin of the history.
        items: Bin and item of each arrival, in the order in which they were added.
    """

    __slots__ = ("counts", "items")

    def __init__(self, *, bins: int) -> None:
        self.counts = [0] * bins
        self.items: deque[tuple[int, T]] = deque()


class BurstSequence(Generic[T]):
    """Bursts of all pools and the ones that are expected next.

    Attributes:
        work_of: Returns the work of an arrival within the forecast horizon in millicore-milliseconds.
        ahead_ms: Time from the order of a machine until it is ready, in milliseconds.
        pools: Arrivals by pool.
        first_bin: Number of the first bin of the history.
        last_bin: Number of its last bin.
        expected: Expected bursts by pool, from the time of the order until 1 s after the expected begin.
        missed: Begin of the burst that a missed one was to follow, by the pool of the missed one.
    """

    __slots__ = ("ahead_ms", "expected", "first_bin", "last_bin", "missed", "pools", "work_of")

    def __init__(self, *, ahead_ms: float, work_of: Callable[[T], float]) -> None:
        self.ahead_ms = ahead_ms
        self.work_of = work_of
        self.pools: dict[str, PoolArrivals[T]] = {}
        self.first_bin = self.last_bin = 0
        self.expected: dict[str, ExpectedBurst] = {}
        self.missed: dict[str, float] = {}

    def clear(self, now_ms: float) -> None:
        """Discards the history, which begins anew now."""
        self.pools, self.expected, self.missed = {}, {}, {}
        self.first_bin = self.last_bin = int(now_ms // BIN_MS)

    def advance(self, now_ms: float) -> None:
        """Extends the history until now and discards what is too old."""
        now_bin = max(self.last_bin, int(now_ms // BIN_MS))
        added = min(HISTORY_BINS, now_bin - self.last_bin)
        self.last_bin = now_bin
        self.first_bin = max(self.first_bin, now_bin - HISTORY_BINS + 1)
        for arrivals in self.pools.values():
            arrivals.counts += [0] * added
            del arrivals.counts[: len(arrivals.counts) - (now_bin - self.first_bin + 1)]
            while arrivals.items and arrivals.items[0][0] < self.first_bin:
                arrivals.items.popleft()

    def is_ahead_of(self, now_ms: float) -> bool:
        """Returns whether the history ends in the future, because the clock was set back."""
        return self.last_bin > now_ms // BIN_MS + MAX_CLOCK_LEAD_BINS

    def add(self, pool: str, *, at_ms: int, item: T) -> None:
        """Adds an arrival; ignores one that is older than the history or lies in the future.

        Args:
            pool: Name of the pool.
            at_ms: Wall-clock time of the arrival.
            item: What arrived.
        """
        at_bin = at_ms // BIN_MS
        if at_bin > self.last_bin:
            if at_bin > self.last_bin + MAX_CLOCK_LEAD_BINS:
                return
            at_bin = self.last_bin
        elif at_bin < self.first_bin:
            if at_bin <= self.last_bin - HISTORY_BINS:
                return
            self._begin_at(at_bin)
        arrivals = self.pools.get(pool)
        if arrivals is None:
            arrivals = self.pools[pool] = PoolArrivals(bins=self.last_bin - self.first_bin + 1)
        arrivals.counts[at_bin - self.first_bin] += 1
        arrivals.items.append((at_bin, item))

    def update(self, now_ms: float) -> tuple[list[ExpectedBurst], list[ExpectedBurst]]:
        """Returns the bursts that are expected from now on and those that were expected and have not begun."""
        bursts = self.find_bursts()
        missed = self._drop_past(bursts, now_ms=now_ms)
        burst = _expect_next(bursts)
        if burst is None or burst.pool in self.missed or burst.pool in self.expected:
            return [], missed
        if not burst.start_ms - self.ahead_ms - MARGIN_MS <= now_ms < burst.start_ms:
            return [], missed
        if burst.start_ms <= burst.after_ms + MIN_LAG_MS:
            return [], missed
        last = next(item for item in reversed(bursts) if item.pool == burst.pool)
        burst = replace(burst, demand_millis=self._first_demand(last))
        self.expected[burst.pool] = burst
        return [burst], missed

    def find_bursts(self) -> list[Burst]:
        """Returns the bursts of all pools in the order of their begin."""
        bursts = [
            Burst(pool=pool, start_ms=float((self.first_bin + start) * BIN_MS))
            for pool, arrivals in self.pools.items()
            for start in find_burst_starts(arrivals.counts)
        ]
        return sorted(bursts, key=lambda burst: (burst.start_ms, burst.pool))

    def _begin_at(self, first_bin: int) -> None:
        for arrivals in self.pools.values():
            arrivals.counts[:0] = [0] * (self.first_bin - first_bin)
        self.first_bin = first_bin

    def _drop_past(self, bursts: list[Burst], *, now_ms: float) -> list[ExpectedBurst]:
        missed = []
        latest = {burst.pool: burst.start_ms for burst in bursts}
        for pool, after_ms in list(self.missed.items()):
            if latest.get(pool, 0.0) > after_ms + MIN_LAG_MS:
                del self.missed[pool]
        for pool, burst in list(self.expected.items()):
            if now_ms <= burst.start_ms + DROP_AFTER_MS:
                continue
            del self.expected[pool]
            if latest.get(pool, 0.0) <= burst.after_ms + MIN_LAG_MS and not self._is_rising(pool):
                self.missed[pool] = burst.after_ms
                missed.append(burst)
        return missed

    def _is_rising(self, pool: str) -> bool:
        """Returns whether the last second had more arrivals than the mean, as at a begin that is not yet certain."""
        arrivals = self.pools.get(pool)
        if arrivals is None:
            return False
        counts = arrivals.counts
        return sum(counts[-WINDOW_BINS:]) > WINDOW_BINS * sum(counts) / len(counts)

    def _first_demand(self, burst: Burst) -> float:
        """Returns the CPU demand that the arrivals of the first seconds of a burst caused, in millicores."""
        first_bin = int(burst.start_ms // BIN_MS)
        work = sum(
            self.work_of(item)
            for at_bin, item in self.pools[burst.pool].items
            if first_bin <= at_bin < first_bin + FIRST_BINS
        )
        return work / (FIRST_BINS * BIN_MS)


def find_burst_starts(counts: list[int]) -> list[int]:
    """Returns the numbers of the bins in which bursts begin; the last burst may still be in progress.

    Args:
        counts: Number of arrivals in each bin.
    """
    mean = sum(counts) / max(1, len(counts))
    window_mean = mean * WINDOW_BINS
    onset = max(MIN_ONSET, BURST_FACTOR * window_mean, window_mean + ONSET_DEVIATIONS * sqrt(window_mean))
    totals = [0] * WINDOW_BINS + list(accumulate(counts))
    windows = [after - before for before, after in zip(totals, totals[WINDOW_BINS:], strict=False)]
    starts = []
    number = 0
    while number < len(windows):
        if windows[number] < onset:
            number += 1
            continue
        start = max(0, number - WINDOW_BINS + 1)
        while counts[start] < max(1.0, mean):
            start += 1
        while number < len(windows) and windows[number] >= window_mean:
            number += 1
        if number == len(windows) or _is_burst(counts[start:number], mean=mean):
            starts.append(start)
    return starts


def _is_burst(counts: list[int], *, mean: float) -> bool:
    """Returns whether arrivals that have ended were too many for random variation."""
    expected = mean * len(counts)
    return len(counts) >= MIN_BURST_BINS and sum(counts) >= max(
        MIN_BURST_ARRIVALS, expected + BURST_DEVIATIONS * sqrt(expected)
    )


def _expect_next(bursts: list[Burst]) -> ExpectedBurst | None:
    """Returns the burst that is expected after the latest one; None without a succession that has recurred.

    Either the latest burst followed the one before it as it did earlier, or the two bursts of its pool before it were
    followed by the same pool after the same lag.
    """
    if len(bursts) < 3:
        return None
    latest = bursts[-1]
    pairs = list(pairwise(bursts))
    followers = [pair for pair in pairs if pair[0].pool == latest.pool]
    if not followers:
        return None
    last = followers[-1]
    agreeing = [pair for pair in followers if _agree(pair, last)]
    if len(agreeing) < 2 and not any(_agree(pair, pairs[-1]) for pair in pairs[:-1]):
        return None
    return ExpectedBurst(
        pool=last[1].pool,
        follows=latest.pool,
        after_ms=latest.start_ms,
        start_ms=latest.start_ms + median(_lag_ms(pair) for pair in agreeing),
        demand_millis=0.0,
    )


def _agree(pair: tuple[Burst, Burst], other: tuple[Burst, Burst]) -> bool:
    """Returns whether two successions have the same pools and lags that differ by at most a fifth."""
    return (
        pair[0].pool == other[0].pool
        and pair[1].pool == other[1].pool
        and abs(_lag_ms(pair) - _lag_ms(other)) <= LAG_TOLERANCE * max(_lag_ms(pair), _lag_ms(other))
    )


def _lag_ms(pair: tuple[Burst, Burst]) -> float:
    return pair[1].start_ms - pair[0].start_ms


__all__ = ["Burst", "BurstSequence", "ExpectedBurst", "find_burst_starts"]

"""Replays of bursts that recur in turn, without a network: machines are ordered before an expected burst begins."""

from __future__ import annotations

import random
from types import SimpleNamespace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from hyssopway.dispatch.demand_forecast import DemandForecast
from hyssopway.workflow import Step, StepProgress, Workflow, WorkflowSpec

POOLS = ("carts", "ferries", "mules", "vans")
STEPS = (
    Step(count=8, cpu_millis=1500, estimate_ms=600),
    Step(count=8, cpu_millis=1500, estimate_ms=600, after=(0,)),
)
LONG = (Step(count=24, cpu_millis=2000, estimate_ms=9000, long_running=True),)
BEST_EFFORT = (Step(count=24, cpu_millis=2000, estimate_ms=9000, fills=True),)
AHEAD_MS = 1900
TURN_MS, PERIOD_MS = 4000, 16_000
START_MS = 1_700_000_000_000
UPDATE_MS = 250
MEAN_PER_S = 8.0


class ForecastWithoutBursts(DemandForecast):
    """The forecast from open workflows and recent arrivals alone."""

    __slots__ = ()

    def _add_new_workflows(self, tables, *, now_ms):
        pass


class Replay:
    """Forecasts at each update from a list of arrivals, (milliseconds from the start, pool, steps) in order."""

    def __init__(self, arrivals, *, forecast_type=DemandForecast):
        self.arrivals = list(arrivals)
        self.forecast = self.make_forecast(forecast_type)
        self.tables = SimpleNamespace(workflows={}, queue_pools={pool: pool for pool in POOLS})
        self.indexes = SimpleNamespace(open_workflows={})
        self.expected, self.missed, self.demand = [], [], {}

    @staticmethod
    def make_forecast(forecast_type=DemandForecast):
        return forecast_type(ahead_s=AHEAD_MS / 1000, scale=lambda _: 1.0)

    def accept(self, at_ms, pool, steps, **spec):
        name = f"w{len(self.tables.workflows)}"
        self.tables.workflows[name] = workflow = Workflow(
            workflow_id=name,
            queue=pool,
            team="",
            spec=WorkflowSpec(specification="", steps=steps, **spec),
            accepted_ms=START_MS + at_ms,
        )
        workflow.progress[0] = [StepProgress.initial(step.count) for step in steps]
        self.indexes.open_workflows[name] = None

    def run(self, *, until_ms, from_ms=0):
        arrivals = iter([item for item in self.arrivals if from_ms <= item[0] < until_ms])
        following = next(arrivals, None)
        for now_ms in range(from_ms, until_ms, UPDATE_MS):
            while following is not None and following[0] <= now_ms:
                self.accept(*following)
                following = next(arrivals, None)
            for name in list(self.indexes.open_workflows):  # a workflow takes 1.2 s
                if self.tables.workflows[name].accepted_ms < START_MS + now_ms - 1200:
                    del self.indexes.open_workflows[name]
            self.forecast.update(tables=self.tables, indexes=self.indexes, now_ms=START_MS + now_ms)
            self.expected += [(now_ms, burst) for burst in self.forecast.new_bursts]
            self.missed += [(now_ms, burst) for burst in self.forecast.missed_bursts]
            self.demand[now_ms] = dict(self.forecast.demand)
        return self

    def ready_share(self, pool, *, start_ms):
        """Returns for which share of the demand of the first 2 s machines are ready when a burst begins."""
        first = sum(item[1] == pool and start_ms <= item[0] < start_ms + 2000 for item in self.arrivals)
        needed = first / 2000 * 8 * 1500 * 1200
        ordered = max(
            demand.get(pool, 0.0)
            for now_ms, demand in self.demand.items()
            if start_ms - AHEAD_MS - 1000 <= now_ms <= start_ms - AHEAD_MS
        )
        return min(1.0, ordered / needed)


def poisson(rng, *, rate_at, until_ms, steps=STEPS):
    """Returns arrivals of all pools; `rate_at` gives the rate of a pool at a time, at most 5 times the mean."""
    arrivals = []
    for pool in POOLS:
        at_ms = 0.0
        while (at_ms := at_ms + rng.expovariate(5 * MEAN_PER_S / 1000)) < until_ms:
            if rng.random() * 5 * MEAN_PER_S < rate_at(pool, at_ms):
                arrivals.append((int(at_ms), pool, steps))
    return sorted(arrivals, key=lambda item: item[0])


def in_turn(pool, at_ms, *, order=POOLS):
    turn = order[int(at_ms % PERIOD_MS // TURN_MS)] if at_ms >= 0 else ""
    return MEAN_PER_S * (5.0 if pool == turn else 0.05)


def turns(until_ms, *, from_ms=0):
    return [
        (POOLS[start_ms % PERIOD_MS // TURN_MS], start_ms) for start_ms in range(from_ms, until_ms, TURN_MS)
    ]


def test_machines_are_ready_when_bursts_recur_in_turn():
    """Guards against machines that are ordered only when a burst has begun; ten replays from random phases."""
    shares, today = [], []
    for seed in range(10):
        rng = random.Random(seed)
        phase_ms = rng.randrange(PERIOD_MS)
        arrivals = poisson(
            rng, rate_at=lambda pool, at_ms, p=phase_ms: in_turn(pool, at_ms + p), until_ms=80_000
        )
        replay = Replay(arrivals).run(until_ms=80_000)
        without = Replay(arrivals, forecast_type=ForecastWithoutBursts).run(until_ms=80_000)
        begins = [(pool, at_ms - phase_ms) for pool, at_ms in turns(76_000 + phase_ms)]
        # Two bursts that follow each other as two did before are known after 5 to 6 turns.
        begins = [(pool, at_ms) for pool, at_ms in begins if 28_000 <= at_ms < 76_000]
        shares += [replay.ready_share(pool, start_ms=at_ms) for pool, at_ms in begins]
        today += [without.ready_share(pool, start_ms=at_ms) for pool, at_ms in begins]
    assert sum(shares) / len(shares) >= 0.8
    assert sum(today) / len(today) <= 0.1


@pytest.mark.parametrize("steps", [STEPS, LONG, BEST_EFFORT], ids=["short", "long-running", "best-effort"])
@settings(max_examples=25, deadline=None)
@given(seed=st.integers(0, 10**6), rate=st.sampled_from([0.3, 1.0, 3.0, 10.0]))
def test_random_arrivals_leave_the_forecast_as_it_was(steps, seed, rate):
    """Guards against machines that are ordered for bursts that random variation seems to show."""
    arrivals = poisson(random.Random(seed), rate_at=lambda *_: rate, until_ms=40_000, steps=steps)
    replay = Replay(arrivals).run(until_ms=40_000)
    without = Replay(arrivals, forecast_type=ForecastWithoutBursts).run(until_ms=40_000)
    assert replay.demand == without.demand

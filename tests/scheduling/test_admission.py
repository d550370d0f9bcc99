"""Admission of jobs against fluid replays of a pool."""

from __future__ import annotations

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from hyssopway.scheduling.admission import MARGIN, CapacityStep, OpenWork, RetryTimes, estimate_end, excess_ms
from hyssopway.scheduling.pool_shares import ResourceAmounts
from scheduling.fluid_pool import TICK_MS, FluidJob, FluidPool

# A short workflow: 1.6 steps of 8 tasks of 0.6 s on 1.5 cores; limit is three times 1.6 x 0.96 s + 0.6 s.
PATH_MS = 960
WORK = 1.6 * 8 * 1500 * 600
LIMIT_MS = 3 * (1.6 * PATH_MS + 600)

jobs = st.builds(
    FluidJob,
    name=st.integers(0, 10**6),
    team=st.sampled_from("abcd"),
    at_ms=st.integers(-3000, 0),
    work=st.integers(1, 20_000),
    path_ms=st.integers(1, 2000),
    limit_ms=st.integers(100, 6000),
    priority=st.integers(1, 2),
)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(
    accepted=st.lists(jobs, max_size=25),
    job=jobs,
    rates=st.lists(st.tuples(st.integers(100, 3000), st.integers(1, 30)), max_size=3),
    weights=st.fixed_dictionaries({team: st.sampled_from([0.5, 1.0, 4.0]) for team in "abcd"}),
)
def test_job_that_would_end_in_time_is_not_refused(accepted, job, rates, weights):
    """Guards against an estimate later than the end of the job in a replay, for any backlog and capacity."""
    steps, total = [(0, 10)], 10
    for at_ms, more in sorted(rates):
        total += more
        steps.append((at_ms, total))
    pool = FluidPool(steps, weights=weights)
    for item in accepted:
        pool.add(item)
    job.at_ms = 0
    estimate, end_ms = pool.estimate(job), pool.end_if_accepted(job)
    assert estimate.end_ms <= end_ms + 2 * TICK_MS
    if end_ms <= job.limit_ms:
        assert not pool.refuses(job)


class Outcome:
    """Counts of one replay."""

    def __init__(self):
        self.refused = []
        self.wrong = 0
        self.ended = []

    def in_limit(self, chosen=lambda _: True):
        ended = [job for job in self.ended if chosen(job)]
        return sum(job.end_ms - job.at_ms <= job.limit_ms for job in ended) / max(1, len(ended))


def play(pool, arrivals, *, until_ms=60_000, retry=None, retry_longest=4):
    """Feeds arrivals to a pool; a refused job is checked against its end if it had been accepted."""
    outcome, waiting = Outcome(), sorted(arrivals, key=lambda job: job.at_ms)
    admitted = []
    while pool.now < until_ms:
        due = [job for job in waiting if job.at_ms <= pool.now]
        waiting = [job for job in waiting if job.at_ms > pool.now]
        for job in due:
            if not pool.refuses(job):
                pool.add(job)
                admitted.append(job)
                continue
            outcome.refused.append(job)
            if len(outcome.refused) % 10 == 1:
                outcome.wrong += pool.end_if_accepted(job) - pool.now <= job.limit_ms
            if retry is not None and job.refusals < retry_longest:
                late_ms = excess_ms(pool.estimate(job), now_ms=pool.now, limit_ms=job.limit_ms)
                after_s = retry.next_s(
                    "pool", excess_ms=late_ms, job_ms=job.work / pool.rate(), now_ms=pool.now
                )
                job.refusals += 1
                job.at_ms = pool.now + after_s * 1000
                waiting.append(job)
        pool.tick()
    outcome.ended = [job for job in admitted if job.end_ms is not None]
    assert len(outcome.ended) == len(admitted)
    return outcome


def make_jobs(count, *, seed, start_ms=0, span_ms=4000, size=1.0, team=None):
    draw = random.Random(seed)
    result = []
    for number in range(count):
        factor = size * draw.uniform(0.7, 1.4)
        result.append(
            FluidJob(
                name=number,
                team=team or f"team-{draw.randrange(20)}",
                at_ms=start_ms + draw.uniform(0, span_ms),
                work=WORK * factor,
                path_ms=PATH_MS,
                limit_ms=LIMIT_MS,
            )
        )
    return result


def rate_for(jobs_per_s):
    return [(0, WORK * jobs_per_s / 1000)]


def test_burst_of_five_times_the_mean_is_served_in_part_and_refused_in_part():
    """Guards against jobs accepted into a queue that cannot be served, and against refusals of what could be."""
    pool = FluidPool(rate_for(20))
    turns = [make_jobs(400 if turn % 2 == 0 else 4, seed=turn, start_ms=4000 * turn) for turn in range(4)]
    outcome = play(pool, [job for turn in turns for job in turn])
    assert outcome.refused
    assert outcome.wrong == 0
    # The pool serves 80 jobs during each burst and as many as the limit allows after it.
    assert len(outcome.ended) >= 2 * 20 * (4 + (LIMIT_MS - PATH_MS) / 1000) * 0.9


def test_demand_that_fits_is_never_refused():
    """Guards against refusals by a pool that serves all jobs in time."""
    assert not play(FluidPool(rate_for(22)), make_jobs(400, seed=1, span_ms=20_000)).refused


def test_burst_of_large_workflows_onto_a_full_pool_is_refused():
    """Guards against large workflows that are accepted into a backlog and held until they are overdue."""
    usual = make_jobs(400, seed=1)
    large = make_jobs(26, seed=2, start_ms=2000, size=8.0)
    outcome = play(FluidPool(rate_for(20)), [*usual, *large])
    assert outcome.wrong == 0
    accepted = sum(job.work for job in outcome.ended if job.work > 5 * WORK)
    # What a pool that is full for 2 s more can serve in time, beside the small workflows accepted before.
    assert accepted <= 20 * WORK * (MARGIN * LIMIT_MS / 1000 - 2)
    assert sum(job.work > 5 * WORK for job in outcome.refused) > len(large) / 2


def test_team_at_seven_times_its_load_is_refused_and_the_others_are_not():
    """Guards against refusals of teams within their share because of another team's backlog."""
    others = [job for n in range(19) for job in make_jobs(16, seed=n, span_ms=20_000, team=f"team-{n}")]
    burst = make_jobs(400, seed=99, start_ms=2000, team="burst")
    outcome = play(FluidPool(rate_for(20)), [*others, *burst])
    assert outcome.wrong == 0
    assert {job.team for job in outcome.refused} == {"burst"}
    assert outcome.in_limit(lambda job: job.team != "burst") > 0.95


def test_callers_that_come_back_after_a_refusal_are_served_and_do_not_arrive_together():
    """Guards against a second burst by the callers that were all sent back to the same second."""
    arrivals = make_jobs(400, seed=3)
    retry = RetryTimes(longest_s=30)
    outcome = play(FluidPool(rate_for(20)), arrivals, retry=retry)
    assert outcome.wrong == 0
    assert len(outcome.ended) == len(arrivals)
    again = [job for job in arrivals if job.refusals > 1]
    assert len(again) <= 0.1 * len(arrivals)
    returns = [int(job.at_ms // 1000) for job in arrivals if job.refusals]
    assert max(returns.count(second) for second in set(returns)) <= 2 * 20


def test_cancelled_jobs_make_room_at_once():
    """Guards against refusals because of work that its submitters have cancelled."""
    pool = FluidPool(rate_for(20))
    for job in make_jobs(200, seed=4, span_ms=1):
        job.at_ms = 0
        pool.add(job)
    late = make_jobs(1, seed=5, span_ms=1, team="team-0", size=2.0)[0]
    late.at_ms = 0
    assert pool.refuses(late) == (pool.end_if_accepted(late) > late.limit_ms * 1.2)
    pool.open = pool.open[::4]
    assert not pool.refuses(late)


def test_other_teams_are_served_by_their_dominant_resource():
    """Guards against counting CPU of a team whose share is limited by its memory: the estimate would be too late."""

    def work(team, *, cpu, memory):
        amounts = ResourceAmounts(cpu_millis=cpu, memory_mb=memory)
        return OpenWork(team=team, queue="q", priority=1, deadline_ms=100, remaining_core_s=1, work=amounts)

    estimate = estimate_end(
        work("a", cpu=10_000, memory=1000),
        now_ms=0.0,
        path_ms=0.0,
        open_work=[work("a", cpu=10_000, memory=1000), work("b", cpu=10_000, memory=40_000)],
        capacity=[CapacityStep(at_ms=0.0, capacity=ResourceAmounts(cpu_millis=1000, memory_mb=1000))],
        weights={},
    )
    # While a is served 10 of its dominant resource, CPU, b is served 10 of its own, memory, and so 2.5 of CPU.
    assert estimate.work_before.cpu_millis == pytest.approx(12_500)
    assert estimate.start_ms == pytest.approx(12.5)
    assert estimate.end_ms == pytest.approx(25.0)


def test_job_too_large_for_an_empty_pool_is_accepted_by_one():
    """Guards against a refusal with a time after which the job would be refused again."""
    pool = FluidPool(rate_for(20))
    large = make_jobs(1, seed=1, size=1000.0)[0]
    assert not pool.refuses(large)
    for job in make_jobs(100, seed=2, team=large.team):
        job.at_ms = 0.0
        pool.add(job)
    large.at_ms = 0.0
    assert pool.refuses(large)
    late_ms = excess_ms(pool.estimate(large), now_ms=0.0, limit_ms=large.limit_ms)
    while pool.now < late_ms:
        pool.tick()
    assert not pool.refuses(large)


@pytest.mark.parametrize("late_ms", [0.0, 1.0, 4200.0, 10**9, float("inf")])
def test_retry_time_is_a_positive_bounded_whole_number(late_ms):
    """Guards against a header that callers cannot parse, or that sends them back at once or never."""
    retry = RetryTimes(longest_s=30)
    times = [retry.next_s("pool", excess_ms=late_ms, job_ms=100.0, now_ms=0.0) for _ in range(1000)]
    assert all(isinstance(time, int) and 1 <= time <= 30 for time in times)
    assert times == sorted(times)

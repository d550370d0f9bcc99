"""Quantiles of run durations."""

from __future__ import annotations

import random

import pytest

from hyssopway.scheduling.durations import MAX_QUEUES, MIN_RUNS, WINDOW, DurationQuantiles


def make_durations(ratios):
    durations = DurationQuantiles()
    for ratio in ratios:
        durations.add("plans", declared_ms=500, actual_ms=500 * ratio)
    return durations


def test_few_runs_have_no_quantiles():
    """Guards against copies by the durations of the first few runs."""
    assert make_durations([1.0] * (MIN_RUNS - 1)).read("plans", share=0.95) is None
    assert make_durations([1.0] * MIN_RUNS).read("plans", share=0.95) == 1.0
    assert DurationQuantiles().read("unknown", share=0.5) is None


@pytest.mark.parametrize("seed", range(5))
def test_quantiles_are_learned_within_a_few_dozen_runs(seed):
    """Guards against quantiles far off when declared durations are off by up to 0.9."""
    source = random.Random(seed)
    durations = make_durations([source.uniform(0.1, 1.9) for _ in range(60)])
    assert durations.read("plans", share=0.5) == pytest.approx(1.0, abs=0.3)
    assert durations.read("plans", share=0.95) == pytest.approx(1.81, abs=0.2)


def test_old_runs_are_forgotten():
    """Guards against durations of an earlier load, and against memory that grows with the runs."""
    durations = make_durations([9.0] * 50 + [1.0] * WINDOW)
    assert durations.read("plans", share=0.99) == 1.0
    assert len(durations.latest["plans"]) == len(durations.ordered["plans"]) == WINDOW


def test_number_of_queues_is_bounded():
    """Guards against memory that grows with changes of the configuration."""
    durations = DurationQuantiles()
    for number in range(MAX_QUEUES + 5):
        durations.add(f"queue-{number}", declared_ms=1, actual_ms=1)
    assert len(durations.latest) == len(durations.ordered) == MAX_QUEUES


def test_undeclared_duration_is_left_out():
    """Guards against a division by zero for steps without a declared duration."""
    durations = DurationQuantiles()
    durations.add("plans", declared_ms=0, actual_ms=5)
    assert durations.latest == {}

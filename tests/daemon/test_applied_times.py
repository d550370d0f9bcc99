"""End of authority on older state."""

from __future__ import annotations

import pytest

from hyssopway.daemon.applied_times import MAX_SAMPLES, SAMPLE_S, AppliedTimes


class Steps:
    """A clock and an index that the test sets."""

    def __init__(self) -> None:
        self.now = 100.0
        self.index = 5


@pytest.mark.parametrize(
    ("index", "after_s", "left_s"),
    [(6, 0.0, 3.0), (6, 1.0, 2.0), (6, 3.0, 0.0), (6, 9.0, 0.0), (7, 9.0, None), (0, 0.0, 3.0)],
)
def test_authority_ends_one_limit_after_the_index_was_seen(index, after_s, left_s):
    """Guards against naming a time at which a cut-off process may still decide on older state."""
    steps = Steps()
    times = AppliedTimes(clock=lambda: steps.now, read_index=lambda: steps.index)
    steps.index = 6
    times.sample()
    steps.now += after_s
    found = times.old_ends_in_s(index)
    assert found == (None if left_s is None else pytest.approx(left_s))


def test_samples_are_bounded_and_stay_safe():
    """Guards against growth, and against a forgotten sample that shortens the wait."""
    steps = Steps()
    times = AppliedTimes(clock=lambda: steps.now, read_index=lambda: steps.index)
    for _ in range(10 * MAX_SAMPLES):
        steps.now += SAMPLE_S / 10
        steps.index += 1
        times.sample()
    assert len(times.samples) <= MAX_SAMPLES
    assert times.old_ends_in_s(steps.index) == pytest.approx(3.0)
    oldest_at, oldest_index = times.samples[0]
    # An index older than all samples is dated by the oldest one, which is later than the truth.
    assert times.old_ends_in_s(oldest_index - 50) == pytest.approx(max(0.0, oldest_at + 3.0 - steps.now))

"""The cluster time that all replicas share."""

from __future__ import annotations

import pytest

from hyssopway.control import ClusterClock


class FakeClock:
    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


@pytest.mark.parametrize(
    ("elapsed_s", "applied_ms", "expected_ms"),
    [
        pytest.param(0.0, 0, 0, id="no time passed"),
        pytest.param(2.5, 0, 2500, id="time advances without commands"),
        pytest.param(2.5, 9000, 9000, id="another leader was ahead"),
        pytest.param(2.5, 1000, 1000, id="elapsed time is not added to the time of another leader"),
    ],
)
def test_time_follows_monotonic_clock_and_never_goes_back(elapsed_s, applied_ms, expected_ms):
    """Guards against jumps of the wall clock that would expire claims too early."""
    clock = FakeClock()
    cluster_clock = ClusterClock(clock=clock)
    clock.now += elapsed_s
    assert cluster_clock.read_ms(applied_ms=applied_ms) == expected_ms
    assert cluster_clock.read_ms(applied_ms=0) == expected_ms

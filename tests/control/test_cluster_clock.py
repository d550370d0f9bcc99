"""Time of the agreed state."""

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
        pytest.param(2.5, 0, 2500, id="own time goes on without commands"),
        pytest.param(2.5, 9000, 9000, id="another leader was further"),
        pytest.param(2.5, 1000, 1000, id="elapsed time is not added to time of another leader"),
    ],
)
def test_time_follows_monotonic_clock_and_never_goes_back(elapsed_s, applied_ms, expected_ms):
    """Guards against wall-clock steps that would end the time for which claims are kept."""
    clock = FakeClock()
    agreed = ClusterClock(clock=clock)
    clock.now += elapsed_s
    assert agreed.read_ms(applied_ms=applied_ms) == expected_ms
    assert agreed.read_ms(applied_ms=0) == expected_ms

"""Measurement of the cost of a leader's decisions."""

from __future__ import annotations

import pytest

from hyssopway_standins.measure import dispatch


@pytest.mark.parametrize("exponent", [0.0, 1.0, 2.0])
def test_growth_exponent_tells_flat_from_growing_costs(exponent):
    """Guards against a growth exponent that hides a cost which grows with the fleet."""
    points = [(float(vms), 3.0 * vms**exponent) for vms in (30, 100, 300)]
    assert dispatch.growth_exponent(points) == pytest.approx(exponent)


def test_each_cost_is_measured_at_each_size():
    """Guards against a low cost that comes from a fleet size at which nothing was started."""
    figures = dispatch.measure(seed=1, quick=True).figures
    for name in ("start", "empty round", "look", "pools"):
        for vms in dispatch.QUICK_SIZES:
            assert figures[f"{name} at {vms} VMs ms"] > 0

"""Ratio of actual to declared run durations."""

from __future__ import annotations

import pytest

from hyssopway.dispatch.duration_scale import MAX_SCALE, DurationScale


def test_scale_is_learned_and_bounded():
    """Guards against a few outliers that multiply the forecast demand."""
    scale = DurationScale()
    assert scale.read("plans") == 1.0
    scale.add("plans", declared_ms=100, actual_ms=100_000)
    assert scale.read("plans") <= MAX_SCALE
    for _ in range(500):
        scale.add("other", declared_ms=100, actual_ms=200)
    assert scale.read("other") == pytest.approx(2.0, rel=0.1)

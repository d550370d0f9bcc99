"""Recording and merging of metrics."""

from __future__ import annotations

import pytest

from hyssopway.metrics import Metrics


@pytest.mark.parametrize("seconds", [0.0, -1.0, 1e-9, 0.01, 3600.0, 1e9])
def test_any_latency_is_recorded(seconds):
    """Guards against a clock step or a long pause that fails a request with an exception."""
    metrics = Metrics()
    metrics.record("request", seconds=seconds)
    assert metrics.summarise()["latencies_ms"]["request"]["count"] == 1


def test_merged_metrics_equal_those_of_one_process():
    """Guards against lost or duplicated values when the metrics of all daemons are merged."""
    whole, merged = Metrics(), Metrics()
    for part in range(3):
        own = Metrics()
        for metrics in (own, whole):
            for step in range(1, 50):
                metrics.record("request", seconds=step * (part + 1) / 100)
            metrics.count("refused", amount=part)
        merged.merge(own.encode())
    assert merged.summarise() == whole.summarise()
    assert merged.summarise()["counters"] == {"refused": 3}

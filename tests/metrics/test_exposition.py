"""Text exposition of metrics."""

from __future__ import annotations

from hyssopway.metrics import Metrics, format_metrics


def test_text_contains_counters_latencies_and_gauges():
    """Guards against a recorded value that is missing from the text."""
    metrics = Metrics()
    metrics.count("requests_200", amount=3)
    metrics.record("request", seconds=0.25)
    lines = format_metrics(metrics, gauges={"leads": 1.0}).splitlines()
    assert "hyssopway_requests_200_total 3" in lines
    assert "hyssopway_request_ms_count 1" in lines
    assert "hyssopway_leads 1" in lines
    (line,) = [line for line in lines if 'quantile="p50"' in line]
    assert abs(float(line.split()[1]) - 250) < 5

"""Measurement of start-up time and memory."""

from __future__ import annotations

from hyssopway_standins.measure import startup
from hyssopway_standins.measure.__main__ import AREAS


def test_startup_reports_time_and_memory_of_both_programs(monkeypatch):
    """Guards against a program that is missing in the measurements, or a figure without meaning."""
    monkeypatch.setattr(startup, "QUICK_STARTS", 1)
    figures = startup.measure(seed=1, quick=True).figures
    names = {f"{role}_{name}" for role in ("entry", "control") for name in ("start_ratio", "rss_mb")}
    assert names <= set(figures)
    assert all(value > 0 for value in figures.values())
    assert "startup" in AREAS

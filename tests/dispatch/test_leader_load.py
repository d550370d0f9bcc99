"""Reports of a leader's load."""

from __future__ import annotations

from collections import Counter

import pytest

from hyssopway.dispatch import leader_load
from hyssopway.dispatch.leader_load import COMMIT_MS, ROUNDS, STARTS, LeaderLoad
from hyssopway.dispatch.loop_lag import LoopLag, LoopLagMeter


def test_lag_is_the_delay_of_callbacks_since_the_last_report():
    """Guards against a lag that includes the sleep, or samples that were reported before."""
    meter = LoopLagMeter(clock=lambda: 0.0)
    for lag_s in (-0.001, 0.01, 0.11):
        meter.record(lag_s)
    assert meter.take() == LoopLag(mean_ms=40, max_ms=110)
    assert meter.take() == LoopLag(mean_ms=0, max_ms=0)


@pytest.fixture
def reports(monkeypatch):
    logged = []
    monkeypatch.setattr(leader_load, "log_event", lambda _, **fields: logged.append(fields))
    return logged


def test_report_holds_the_growth_of_the_counters(reports):
    """Guards against totals of the term in a line that is read as one second."""
    counters = Counter({STARTS: 30, ROUNDS: 2, COMMIT_MS: 50})
    load = LeaderLoad(clock=lambda: 0.0, counters=counters)
    load.report()
    counters.update({STARTS: 5})
    load.report()
    assert [(line["starts"], line["rounds"], line["commit_ms"]) for line in reports] == [
        (30, 2, 25),
        (5, 0, 0),
    ]

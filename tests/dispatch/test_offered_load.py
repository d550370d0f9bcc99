"""Work that arrives, and how far its declared duration is off."""

from __future__ import annotations

import pytest

from hyssopway.dispatch.offered_load import WINDOW_S, measure_offered
from hyssopway.dispatch.work_scale import MAX_SCALE, WorkScale
from hyssopway.workflow import Step
from workflow.conftest import make_workflow


async def test_only_recent_arrivals_count(fleet):
    """Replays a burst: the work of the last moments counts, divided by their length."""
    steps = (Step(count=3, cpu_millis=2000, estimate_ms=500), Step(count=1, cpu_millis=9, long_running=True))
    await fleet.propose(make_workflow("new", steps=steps))
    tables, indexes = fleet.state.tables, fleet.state.indexes
    tables.workflows["w"].accepted_ms = -10_000
    offered = measure_offered(tables=tables, indexes=indexes, scale=lambda _: 2.0, now_ms=10)
    assert offered == {"vans": pytest.approx(2.0 * 3 * 2000 * 500 / (WINDOW_S * 1000))}


def test_scale_is_learned_and_bounded():
    """Guards against a few odd runs that multiply the demand."""
    scale = WorkScale()
    assert scale.read("plans") == 1.0
    scale.add("plans", declared_ms=100, real_ms=100_000)
    assert scale.read("plans") <= MAX_SCALE
    for _ in range(500):
        scale.add("other", declared_ms=100, real_ms=200)
    assert scale.read("other") == pytest.approx(2.0, rel=0.1)

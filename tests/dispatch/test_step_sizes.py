"""Mean CPU demand of the steps of a pool."""

from __future__ import annotations

from hyssopway.dispatch.step_sizes import StepSizes
from hyssopway.workflow import Step
from workflow.conftest import make_workflow


async def test_each_workflow_is_counted_once(fleet):
    """Guards against spare capacity that is too small for the large steps of a pool."""
    sizes = StepSizes()
    tables, indexes = fleet.state.tables, fleet.state.indexes
    await fleet.propose(make_workflow("wide", steps=(Step(count=10, cpu_millis=5000),)))
    sizes.update(tables=tables, indexes=indexes)
    first = sizes.read("vans")
    assert first > 0
    for _ in range(20):
        sizes.update(tables=tables, indexes=indexes)
    assert sizes.read("vans") == first
    assert sizes.read("other") == 0.0

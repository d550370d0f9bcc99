"""Moves of machines while the demand of pools rises and falls by turns."""

from __future__ import annotations

import pytest

from hyssopway.dispatch.pool_plan import MIN_VMS, MachineMove, PoolDemand, plan_moves, wanted_vms

VM = 64_000


def demand(pool, *, vms, steady=0, short=0, forecast=0.0, step=0.0, spread=0, idle=(), long_idle=None):
    return PoolDemand(
        pool=pool,
        vms=vms,
        long_running_millis=steady,
        short_millis=short,
        forecast_millis=forecast,
        step_millis=step,
        spread_vms=spread,
        idle_machines=tuple(idle),
        long_idle=len(idle) if long_idle is None else long_idle,
    )


def plan(*demands, standby=()):
    return plan_moves(demands=list(demands), standby="spare", standby_machines=list(standby), vm_millis=VM)


def test_idle_pool_gives_its_machines_to_the_standby_pool():
    """Guards against machines that are paid for while their queue is in its trough."""
    moves = plan(demand("a", vms=8, idle=[f"m{number}" for number in range(8)]))
    assert moves == [
        MachineMove(machine_id=f"m{number}", source="a", target="spare") for number in range(8 - MIN_VMS)
    ]


def test_machine_that_is_idle_for_a_moment_stays():
    """Guards against machines that go to and fro with each gap in the arrivals."""
    assert plan(demand("a", vms=8, idle=["m1", "m2"], long_idle=0)) == []


def test_loaded_pool_gets_standby_machines_first():
    """Guards against taking machines of another pool while some are switched off."""
    moves = plan(
        demand("a", vms=4, short=5 * VM),
        demand("b", vms=8, idle=["m1"], long_idle=0),
        standby=["s1"],
    )
    assert moves == [
        MachineMove(machine_id="s1", source="spare", target="a"),
        MachineMove(machine_id="m1", source="b", target="a"),
    ]


def test_pool_that_lacks_most_is_served_first():
    """Guards against the last machines going to a pool that hardly needs them."""
    moves = plan(demand("a", vms=4, short=4 * VM), demand("b", vms=4, short=9 * VM), standby=["s1", "s2"])
    assert [move.target for move in moves] == ["b", "b"]


@pytest.mark.parametrize(
    ("demanded", "least"),
    [
        pytest.param(demand("a", vms=8), MIN_VMS, id="no work"),
        pytest.param(demand("a", vms=8, step=2.5 * VM), 3, id="steps are wide"),
        pytest.param(demand("a", vms=8, spread=5), 5, id="a step may have one task a VM"),
        pytest.param(demand("a", vms=8, steady=3 * VM), 4, id="long-running tasks stay"),
        pytest.param(demand("a", vms=8, short=VM, forecast=3.0 * VM), 4, id="demand rises"),
        pytest.param(demand("a", vms=8, short=VM, forecast=6.0 * VM), 7, id="much work arrives"),
    ],
)
def test_pool_keeps_what_its_work_needs(demanded, least):
    """Guards against a pool that is too small for work that is there or on its way."""
    assert wanted_vms(demanded, vm_millis=VM) >= least


def test_falling_demand_does_not_count_as_growth():
    """Guards against a forecast below the work that is there."""
    assert wanted_vms(demand("a", vms=8, short=4 * VM, forecast=0.0), vm_millis=VM) >= 4

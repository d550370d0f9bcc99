"""Plan of machine moves while the demand of pools rises and falls."""

from __future__ import annotations

import pytest

from hyssopway.dispatch.pool_plan import MIN_VMS, MachineMove, PoolDemand, plan_moves, required_vms

VM_MILLIS = 64_000


def make_demand(
    pool, *, vms, long_running=0, short=0, forecast=0.0, step=0.0, spread=0, idle=(), long_idle=None
):
    return PoolDemand(
        pool=pool,
        vms=vms,
        long_running_millis=long_running,
        short_millis=short,
        forecast_millis=forecast,
        mean_step_millis=step,
        min_spread_vms=spread,
        idle_machines=tuple(idle),
        long_idle_count=len(idle) if long_idle is None else long_idle,
    )


def plan(*demands, standby=()):
    return plan_moves(
        demands=list(demands), standby="spare", standby_machines=list(standby), vm_millis=VM_MILLIS
    )


def test_idle_machines_move_to_the_standby_pool():
    """Guards against paying for machines in a pool whose queue has little demand."""
    moves = plan(make_demand("a", vms=8, idle=[f"m{number}" for number in range(8)]))
    assert moves == [
        MachineMove(machine_id=f"m{number}", source="a", target="spare") for number in range(8 - MIN_VMS)
    ]


def test_briefly_idle_machine_stays_in_its_pool():
    """Guards against machines that move away and back with each gap in the arrivals."""
    assert plan(make_demand("a", vms=8, idle=["m1", "m2"], long_idle=0)) == []


def test_loaded_pool_gets_standby_machines_first():
    """Guards against taking machines from another pool while the standby pool has some."""
    moves = plan(
        make_demand("a", vms=4, short=5 * VM_MILLIS),
        make_demand("b", vms=8, idle=["m1"], long_idle=0),
        standby=["s1"],
    )
    assert moves == [
        MachineMove(machine_id="s1", source="spare", target="a"),
        MachineMove(machine_id="m1", source="b", target="a"),
    ]


def test_pool_with_the_largest_deficit_is_served_first():
    """Guards against the last available machines going to a pool that needs them less."""
    moves = plan(
        make_demand("a", vms=4, short=4 * VM_MILLIS),
        make_demand("b", vms=4, short=9 * VM_MILLIS),
        standby=["s1", "s2"],
    )
    assert [move.target for move in moves] == ["b", "b"]


@pytest.mark.parametrize(
    ("demanded", "least"),
    [
        pytest.param(make_demand("a", vms=8), MIN_VMS, id="no work"),
        pytest.param(make_demand("a", vms=8, step=2.5 * VM_MILLIS), 3, id="large steps"),
        pytest.param(make_demand("a", vms=8, spread=5), 5, id="spread limit of one task per VM"),
        pytest.param(make_demand("a", vms=8, long_running=3 * VM_MILLIS), 4, id="long-running tasks"),
        pytest.param(
            make_demand("a", vms=8, short=VM_MILLIS, forecast=3.0 * VM_MILLIS), 4, id="demand rises"
        ),
        pytest.param(
            make_demand("a", vms=8, short=VM_MILLIS, forecast=6.0 * VM_MILLIS), 7, id="demand rises steeply"
        ),
    ],
)
def test_required_vms_cover_present_and_expected_demand(demanded, least):
    """Guards against a pool that is too small for its present or its expected work."""
    assert required_vms(demanded, vm_millis=VM_MILLIS) >= least


def test_forecast_does_not_lower_the_required_vms_below_present_demand():
    """Guards against a forecast that is lower than the present demand."""
    assert required_vms(make_demand("a", vms=8, short=4 * VM_MILLIS, forecast=0.0), vm_millis=VM_MILLIS) >= 4

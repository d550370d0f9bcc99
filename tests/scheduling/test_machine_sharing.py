"""Division of machines between pools whose demand rises at the same time."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dispatch.test_pool_plan import VM_MILLIS, make_demand, plan
from hyssopway.dispatch.pool_plan import MIN_VMS, MachineMove, required_vms
from hyssopway.scheduling.machine_sharing import MachineDeficit, divide_machines
from hyssopway.scheduling.machine_use import MachineUse

INTERVAL_S = 0.25


def plan_by_absolute_deficit(*demands, standby=()):
    """Returns the plan without division: each pool in turn takes what it lacks, the largest deficit first."""
    required = {demand.pool: required_vms(demand, vm_millis=VM_MILLIS) for demand in demands}
    available = [(machine, "spare") for machine in standby]
    for demand in demands:
        surplus = min(len(demand.idle_machines), demand.vms - required[demand.pool])
        available += [(machine, demand.pool) for machine in demand.idle_machines[: max(0, surplus)]]
    long_idle = {machine for demand in demands for machine in demand.idle_machines[: demand.long_idle_count]}
    moves = []
    for demand in sorted(demands, key=lambda demand: demand.vms - required[demand.pool]):
        for _ in range(max(0, required[demand.pool] - demand.vms)):
            if not available:
                return moves
            machine, source = available.pop(0)
            moves.append(MachineMove(machine_id=machine, source=source, target=demand.pool))
    return moves + [
        MachineMove(machine_id=machine, source=source, target="spare")
        for machine, source in available
        if source != "spare" and machine in long_idle
    ]


@st.composite
def pool_demands(draw):
    demands = []
    for number in range(draw(st.integers(1, 5))):
        vms = draw(st.integers(0, 20))
        idle = draw(st.integers(0, vms))
        demands.append(
            make_demand(
                f"pool-{number}",
                vms=vms,
                short=draw(st.integers(0, 20)) * VM_MILLIS,
                spread=draw(st.integers(0, 6)),
                idle=[f"m{number}-{one}" for one in range(idle)],
                long_idle=draw(st.integers(0, idle)),
            )
        )
    return demands, [f"s{number}" for number in range(draw(st.integers(0, 30)))]


@given(pool_demands())
def test_scarce_machines_are_divided_and_others_as_before(case):
    """Guards against another plan with enough machines, and against a pool that lacks more than it has to."""
    demands, standby = case
    moves, before = plan(*demands, standby=standby), plan_by_absolute_deficit(*demands, standby=standby)
    required = {demand.pool: required_vms(demand, vm_millis=VM_MILLIS) for demand in demands}
    lacking = {demand.pool: max(0, required[demand.pool] - demand.vms) for demand in demands}
    gained = {pool: sum(move.target == pool for move in moves) for pool in lacking}
    if sum(gained.values()) == sum(lacking.values()):
        assert moves == before
        return
    assert [(move.machine_id, move.source) for move in moves] == [
        (move.machine_id, move.source) for move in before
    ]
    # No machine of a pool would have reduced a larger relative deficit in another pool that still lacks one.
    largest = max(
        share(demand, gained[demand.pool]) for demand in demands if gained[demand.pool] < lacking[demand.pool]
    )
    assert all(largest <= share(demand, gained[demand.pool] - 1) for demand in demands if gained[demand.pool])


def share(demand, gained):
    """Returns the share of its demand that a pool lacks after it has gained some machines."""
    demanded = max(MIN_VMS, demand.min_spread_vms, demand.short_millis / VM_MILLIS)
    return max(0.0, 1 - (demand.vms + gained) / demanded)


def longest_wait_s(planner, *, peaks, standby, rise_s):
    """Replays bursts of several pools, and returns the longest wait for service in any pool."""
    vms = dict.fromkeys(peaks, 3)
    backlog = dict.fromkeys(peaks, 0.0)
    longest = 0.0
    for step in range(24):
        burst = min(1.0, step * INTERVAL_S / rise_s)
        load = {pool: peak * burst for pool, peak in peaks.items()}
        for pool in peaks:
            backlog[pool] = max(0.0, backlog[pool] + (load[pool] - vms[pool]) * INTERVAL_S)
            longest = max(longest, backlog[pool] / vms[pool])
        demands = [make_demand(pool, vms=vms[pool], short=int(load[pool] * VM_MILLIS)) for pool in peaks]
        for move in planner(*demands, standby=[f"s{number}" for number in range(standby)]):
            vms[move.target] += 1
            standby -= 1
    return longest


@pytest.mark.parametrize("rise_s", [INTERVAL_S, 1.0, 2.0])
@pytest.mark.parametrize(
    ("peaks", "standby"),
    [({"a": 24, "b": 6}, 12), ({"a": 24, "b": 24}, 12), ({"a": 40, "b": 20, "c": 10}, 30)],
)
def test_small_pool_does_not_wait_for_a_large_one(peaks, standby, rise_s):
    """Guards against one pool that takes all standby machines while the demand of another rises."""
    arguments = {"peaks": peaks, "standby": standby, "rise_s": rise_s}
    divided, before = longest_wait_s(plan, **arguments), longest_wait_s(plan_by_absolute_deficit, **arguments)
    assert divided <= before
    if rise_s == INTERVAL_S:
        assert divided < before


def test_division_stops_when_nothing_is_lacking():
    """Guards against machines for a pool that has what it requires."""
    deficits = [
        MachineDeficit(pool="a", vms=3, required=4, demanded=3.0),
        MachineDeficit(pool="b", vms=9, required=4, demanded=3.0),
        MachineDeficit(pool="c", vms=0, required=2, demanded=1.0),
    ]
    assert divide_machines(deficits, machines=10) == ["c", "c", "a"]
    assert divide_machines(deficits, machines=1) == ["c"]


def test_machine_time_counts_between_measurements():
    """Guards against machine time that depends on how often it is measured."""
    use = MachineUse()
    for now, machines in ((5.0, 10), (6.0, 10), (8.0, 20)):
        use.add(machines=machines, cores=2.0, now=now)
    assert (use.machine_s, use.core_s) == (40.0, 6.0)

"""Tests of the withdrawal and return of zones, with a fake clock."""

from __future__ import annotations

from collections import Counter

import pytest

from hyssopway.control.command import SetZone
from hyssopway.control.record import PermitPurpose, VmState, WaveStatus, ZoneStatus
from hyssopway.fleet.zone_report import report_zone
from hyssopway.fleet.zone_steps import decide_zones
from hyssopway.result import ResultCode
from hyssopway_standins.state_machine import StateMachineStandIn
from hyssopway_standins.wave_driver import WaveDriver


@pytest.fixture(params=["pantry", "association"])
def driver(request):
    return WaveDriver(state_machine=StateMachineStandIn.prepare_example(request.param))


def set_zone(driver, zone, status, epoch=None):
    index = driver.state_machine.state.applied_index
    command = SetZone(zone=zone, status=status, expected_epoch=epoch, request_id=f"z{index}", operator="kim")
    return driver.state_machine.apply(command).failure


def run(driver, rounds=60, last_return_ms=None):
    """Runs rounds, checks the budgets in each, and returns the number of returned permits by round."""
    last_return_ms = {} if last_return_ms is None else last_return_ms
    document = driver.state_machine.state.document()
    returned = []
    for _ in range(rounds):
        steps = decide_zones(
            driver.state_machine.state, now_ms=driver.state_machine.now_ms, last_return_ms=last_return_ms
        )
        returned.append(Counter(step.kind for step in steps)["return_permit"])
        for step in steps:
            driver.state_machine.apply(step)
        driver.run_round()
        for pool in document.pools:
            assert driver.peak_down[pool.name] <= pool.budget.max_down
    return returned


def zones(driver):
    return list(driver.state_machine.state.tables.zones)


def pools(driver):
    return {name: vm.pool for name, vm in driver.state_machine.state.tables.vms.items()}


def states_in(driver, zone):
    vms = driver.state_machine.state.tables.vms.values()
    return {vm.state for vm in vms if vm.zone == zone}


def test_zone_is_emptied_within_budgets_and_all_vms_return(driver):
    """Guards against a withdrawal that exceeds a budget or does not return borrowed VMs."""
    zone, before = zones(driver)[0], pools(driver)
    dry = report_zone(driver.state_machine.state, zone=zone)
    assert pools(driver) == before
    assert set_zone(driver, zone, ZoneStatus.WITHDRAWN) is None
    run(driver)
    permits = driver.state_machine.state.tables.permits.values()
    emptied = Counter(
        driver.state_machine.vm(permit.vm).pool
        for permit in permits
        if permit.purpose is PermitPurpose.WITHDRAWAL
    )
    spare = next(pool.name for pool in driver.state_machine.state.document().pools if pool.spare)
    # Moves out of the spare pool use its budget too, so fewer of its VMs may be drained.
    assert all(
        emptied[pool["pool"]] == pool["emptied_at_once"] for pool in dry["budgets"] if pool["pool"] != spare
    )
    moved = [name for name, pool in pools(driver).items() if pool != before[name]]
    assert moved
    assert all(driver.state_machine.vm(name).zone != zone for name in moved)
    assert set_zone(driver, zone, ZoneStatus.RETURNING) is None
    returned = run(driver, rounds=200)
    assert max(returned) <= len(driver.state_machine.state.document().pools)
    assert driver.state_machine.state.tables.zones[zone].status is ZoneStatus.OPEN
    assert states_in(driver, zone) == {VmState.READY}
    assert pools(driver) == before
    assert not driver.state_machine.state.tables.permits


@pytest.mark.parametrize("turns", [1, 2, 5])
def test_last_request_wins_after_quick_changes(driver, turns):
    """Guards against VMs that stay drained after a withdrawal that was cancelled within a few rounds."""
    zone, before = zones(driver)[1], pools(driver)
    for _ in range(turns):
        set_zone(driver, zone, ZoneStatus.WITHDRAWN)
        run(driver, rounds=3)
        set_zone(driver, zone, ZoneStatus.RETURNING)
        run(driver, rounds=2)
    run(driver, rounds=200)
    assert (pools(driver), states_in(driver, zone)) == (before, {VmState.READY})


def test_two_zones_share_the_budgets(driver):
    """Guards against budgets that are counted separately for each withdrawal."""
    first, second = zones(driver)[:2]
    set_zone(driver, first, ZoneStatus.WITHDRAWN)
    run(driver, rounds=2)
    set_zone(driver, second, ZoneStatus.WITHDRAWN)
    run(driver)
    for zone in (first, second):
        set_zone(driver, zone, ZoneStatus.RETURNING)
    run(driver, rounds=300)
    assert not driver.state_machine.state.tables.permits
    assert {zone.status for zone in driver.state_machine.state.tables.zones.values()} == {ZoneStatus.OPEN}


def add_vms(driver, zone, pool, count):
    for number in range(count):
        driver.state_machine.register(
            f"more-{pool}-{number}", zone=zone, rack=f"{zone}-more-{number}", pool=pool
        )


@pytest.mark.parametrize(("more", "spare_down", "left"), [(1, 4, 0), (2, 4, 0), (3, 4, 1), (1, 2, 1)])
def test_drained_vms_are_swapped_for_spare_vms(driver, more, spare_down, left):
    """Guards against VMs of a withdrawn zone that stay in service although spare VMs could replace them."""
    zone, data = zones(driver)[0], driver.state_machine.data
    pool = data["pools"][0]["name"]
    spare = next(item for item in data["pools"] if item.get("spare"))
    spare["budget"]["max_down"] = spare_down
    driver.state_machine.change_document(data)
    add_vms(driver, zone, pool, more)
    before = pools(driver)
    set_zone(driver, zone, ZoneStatus.WITHDRAWN)
    run(driver, rounds=200)
    vms = [vm for vm in driver.state_machine.state.tables.vms.values() if vm.zone == zone]
    assert sum(vm.state is VmState.READY for vm in vms) == left
    outside = Counter(name for vm, name in pools(driver).items() if driver.state_machine.vm(vm).zone != zone)
    assert outside[pool] > Counter(before.values())[pool] - 2 - more
    set_zone(driver, zone, ZoneStatus.RETURNING)
    run(driver, rounds=300)
    assert (pools(driver), states_in(driver, zone)) == (before, {VmState.READY})
    assert not driver.state_machine.state.tables.permits


def test_withdrawal_during_a_wave(driver):
    """Guards against a wave that reboots, or waits for, VMs of a zone that was withdrawn during the wave."""
    zone, before = zones(driver)[0], pools(driver)
    wave = driver.start()
    run(driver, rounds=15)
    assert set_zone(driver, zone, ZoneStatus.WITHDRAWN) is None
    run(driver, rounds=120)
    rebooted = +driver.reboots
    assert VmState.READY not in states_in(driver, zone)
    run(driver, rounds=30)
    assert driver.reboots == rebooted
    set_zone(driver, zone, ZoneStatus.RETURNING)
    run(driver, rounds=600)
    assert wave.status is WaveStatus.DONE
    assert driver.reboots == dict.fromkeys(before, 1)
    assert (pools(driver), states_in(driver, zone)) == (before, {VmState.READY})


def test_racing_operators_change_a_zone_once(driver):
    """Guards against a return by an operator who had not seen the withdrawal."""
    zone = zones(driver)[0]
    assert set_zone(driver, zone, ZoneStatus.WITHDRAWN, epoch=0) is None
    assert set_zone(driver, zone, ZoneStatus.OPEN, epoch=0).code is ResultCode.GENERATION_CONFLICT


def test_failures_beyond_a_budget_stop_the_emptying(driver):
    """Guards against planned stops while failures alone already exceed a budget."""
    zone = zones(driver)[0]
    pool = driver.state_machine.state.document().pools[0]
    names = [name for name, in_pool in pools(driver).items() if in_pool == pool.name]
    for name in names[: pool.budget.max_down + 1]:
        driver.change(name, VmState.DOWN)
    set_zone(driver, zone, ZoneStatus.WITHDRAWN)
    assert not decide_zones(driver.state_machine.state, now_ms=0, last_return_ms={})
    assert report_zone(driver.state_machine.state, zone=zone)["stopped_by_failures"]

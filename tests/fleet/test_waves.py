"""Tests of maintenance waves, with a fake clock."""

from __future__ import annotations

import pytest

from hyssopway.control import ControlState
from hyssopway.control.apply.waves import may_still_reboot
from hyssopway.control.command import AdvanceWave, ControlWave, SetZone, StartWave, WaveAction
from hyssopway.control.record import VmState, WaveStatus, WaveVmStatus, ZoneStatus
from hyssopway.fleet.wave_order import find_deadline_ms, forecast_end_ms, forecast_overrun_ms
from hyssopway.fleet.waves import decide_waves
from hyssopway.result import ResultCode
from hyssopway_standins.state_machine import StateMachineStandIn
from hyssopway_standins.wave_driver import WaveDriver


@pytest.fixture
def driver():
    return WaveDriver(state_machine=StateMachineStandIn.prepare_example("pantry"))


def control_wave(driver, wave, action, operator="kim", request_id="c"):
    command = ControlWave(
        wave=wave.wave_id,
        action=action,
        expected_epoch=wave.epoch,
        operator=operator,
        request_id=f"{request_id}-{wave.epoch}",
    )
    return driver.state_machine.apply(command).failure


def statuses(wave):
    return {name: vm.status for name, vm in wave.vms.items()}


@pytest.mark.parametrize("deployment", ["pantry", "association"])
def test_wave_reboots_each_vm_once_within_budgets(deployment):
    """Guards against VMs that are rebooted twice or not at all, and against exceeded budgets."""
    driver = WaveDriver(state_machine=StateMachineStandIn.prepare_example(deployment))
    wave = driver.start()
    driver.run(wave)
    document = driver.state_machine.state.document()
    assert (wave.status, wave.reason) == (WaveStatus.DONE, "every VM was visited")
    assert driver.reboots == dict.fromkeys(driver.state_machine.state.tables.vms, 1)
    assert all(driver.peak_down[pool.name] <= pool.budget.max_down for pool in document.pools)
    assert not driver.state_machine.state.tables.permits
    assert {vm.state for vm in driver.state_machine.state.tables.vms.values()} == {VmState.READY}


def test_canary_is_rebooted_first_and_alone(driver):
    """Guards against a bad change that affects several VMs before the first one has returned."""
    wave = driver.start()
    while not wave.count(WaveVmStatus.DONE):
        driver.run_round()
        assert sum(driver.peak_down.values()) <= 1


def test_new_leader_continues_from_a_snapshot(driver):
    """Guards against a new leader that reboots a VM twice or leaves one drained."""
    wave = driver.start()
    for _ in range(3000):
        if wave.status is not WaveStatus.RUNNING:
            break
        driver.run_round()
        state = ControlState()
        state.restore_snapshot(driver.state_machine.state.encode_snapshot())
        driver.state_machine.state = state
        wave = state.tables.waves[wave.wave_id]
    assert wave.status is WaveStatus.DONE
    assert set(driver.reboots.values()) == {1}


def test_steps_of_two_leaders_are_applied_once(driver):
    """Guards against applying the steps of a former leader after the same steps of the new one."""
    driver.start()
    steps = decide_waves(driver.state_machine.state, now_ms=5000, returned=())
    assert [driver.state_machine.apply(step).failure for step in steps] == [None]
    codes = [driver.state_machine.apply(step).failure.code for step in steps]
    assert codes == [ResultCode.WAVE_CONFLICT]


# VMs that do not return, the expected status of the wave, and a part of its reason.
LOSSES = {
    "canary": (["restock-vm-1", "back-office-vm-1"], WaveStatus.PAUSED, "a canary was lost"),
    "one": (["pickup-vm-1"], WaveStatus.DONE, "every VM"),
    "max_lost": (["pickup-vm-1", "dispatch-vm-2"], WaveStatus.PAUSED, "max_lost is 2"),
}


@pytest.mark.parametrize("case", LOSSES)
def test_losses_pause_the_wave_and_are_replaced(driver, case):
    """Guards against a wave that continues although its reboots lose VMs."""
    lost, status, reason = LOSSES[case]
    driver.failing_reboots = set(lost)
    wave = driver.start()
    driver.run(wave)
    assert wave.status is status
    assert reason in wave.reason
    for _ in range(10):
        driver.run_round()
    replaced = list(wave.select(WaveVmStatus.REPLACED))
    pools = [vm.pool for vm in driver.state_machine.state.tables.vms.values() if vm.state is VmState.READY]
    assert all(pools.count(driver.state_machine.vm(name).pool) == 8 for name in replaced)
    assert len(replaced) == sum(not name.startswith("back") for name in list_lost(wave))


def list_lost(wave):
    return list(wave.select(WaveVmStatus.LOST, WaveVmStatus.REPLACED))


def test_pause_resume_and_abort_leave_no_vm_stopped(driver):
    """Guards against VMs that stay drained after an abort, and against drains that start while paused."""
    wave = driver.start()
    while wave.count(WaveVmStatus.DONE) < 3:
        driver.run_round()
    assert control_wave(driver, wave, WaveAction.PAUSE) is None
    for _ in range(40):
        driver.run_round()
    assert not driver.state_machine.state.tables.permits
    done = wave.count(WaveVmStatus.DONE)
    assert control_wave(driver, wave, WaveAction.RESUME) is None
    driver.run_round()
    assert driver.state_machine.state.tables.permits
    assert control_wave(driver, wave, WaveAction.ABORT) is None
    for _ in range(40):
        driver.run_round()
    assert not driver.state_machine.state.tables.permits
    assert set(statuses(wave).values()) == {WaveVmStatus.DONE, WaveVmStatus.SKIPPED}
    assert wave.count(WaveVmStatus.DONE) == done


def test_operators_race_to_control_a_wave(driver):
    """Guards against an abort that is undone by a resume sent at the same time."""
    wave = driver.start()
    stale = ControlWave(
        wave=wave.wave_id, action=WaveAction.PAUSE, expected_epoch=1, operator="lee", request_id="x"
    )
    assert control_wave(driver, wave, WaveAction.ABORT) is None
    assert driver.state_machine.apply(stale).failure.code is ResultCode.GENERATION_CONFLICT
    second = StartWave(request_id="second", operator="lee")
    assert driver.state_machine.apply(second).failure is None


def test_withdrawal_during_a_wave_leaves_its_zone_for_later(driver):
    """Guards against a wave that uses the budget which a withdrawal needs."""
    wave = driver.start()
    zone = SetZone(zone="Nashua", status=ZoneStatus.WITHDRAWN, request_id="z", operator="kim")
    driver.state_machine.apply(zone)
    for _ in range(1500):
        driver.run_round()
    waiting = [driver.state_machine.vm(name).zone for name in wave.select(WaveVmStatus.WAITING)]
    assert set(waiting) == {"Nashua"}
    assert wave.count(WaveVmStatus.DONE) == 30
    zone = SetZone(zone="Nashua", status=ZoneStatus.OPEN, request_id="y", operator="kim")
    driver.state_machine.apply(zone)
    driver.run(wave)
    assert wave.status is WaveStatus.DONE


def test_lost_vm_takes_no_work_until_its_reboot_is_over(driver):
    """Guards against tasks that are cut off when the platform reboots a lost VM late."""
    driver.failing_reboots = {"back-office-vm-1"}
    wave = driver.start()
    driver.run(wave)
    vm = driver.state_machine.vm("back-office-vm-1")
    assert vm.state is VmState.DOWN
    assert may_still_reboot(driver.state_machine.state, vm=vm)
    driver.state_machine.register(vm.name, zone=vm.zone, rack=vm.rack, pool=vm.pool, boot_id="boot-new")
    assert not may_still_reboot(driver.state_machine.state, vm=vm)


def test_forecast_follows_the_pace(driver):
    """Guards against a forecast that deviates by 30 % or more from the end of a wave with a steady pace."""
    wave = driver.start()
    assert forecast_end_ms(wave, now_ms=0) is None
    while wave.count(WaveVmStatus.DONE) < 20:
        driver.run_round()
    forecast = forecast_end_ms(wave, now_ms=driver.state_machine.now_ms)
    driver.run(wave)
    assert abs(forecast - driver.state_machine.now_ms) < 0.3 * driver.state_machine.now_ms


@pytest.mark.parametrize(("period_s", "late"), [(4000, False), (300, True)])
def test_lateness_follows_the_document_in_force(driver, period_s, late):
    """Guards against a missed deadline that goes unreported, also after a document changed the deadline."""
    wave = driver.start()
    for _ in range(20):
        driver.run_round()
    assert forecast_overrun_ms(driver.state_machine.state, wave=wave, now_ms=driver.state_machine.now_ms) == 0
    driver.state_machine.change_document(driver.state_machine.data | {"maintenance": {"period_s": period_s}})
    known = forecast_overrun_ms(driver.state_machine.state, wave=wave, now_ms=driver.state_machine.now_ms)
    assert bool(known) == late
    driver.run(wave)
    assert (driver.state_machine.now_ms > find_deadline_ms(driver.state_machine.state, wave=wave)) == late


def change_pools(data, case):
    """Changes the pools of a document."""
    for pool in data["pools"]:
        if case == "lower budget":
            pool["budget"] = {"max_down": 1, "max_down_per_rack": 1, "max_down_per_zone": 1}
    if case == "dropped pool":
        data["pools"] = [pool for pool in data["pools"] if pool["name"] != "pickup"]
        data["services"] = [service for service in data["services"] if service["pool"] != "pickup"]
    return data


@pytest.mark.parametrize("case", ["lower budget", "dropped pool"])
def test_document_that_changes_during_a_wave(driver, case):
    """Guards against drains under a budget that is no longer active, and against a wave that never ends."""
    wave = driver.start()
    for _ in range(20):
        driver.run_round()
    driver.state_machine.change_document(change_pools(driver.state_machine.data, case))
    # Stops that began before the change end first: a drain of 20 s and a reboot of 60 s take 16 rounds.
    for _ in range(20):
        driver.run_round()
    driver.peak_down.clear()
    driver.run(wave)
    assert wave.status is WaveStatus.DONE
    if case == "lower budget":
        assert max(driver.peak_down.values()) == 1
        assert driver.reboots == dict.fromkeys(wave.vms, 1)
    skipped = wave.select(WaveVmStatus.SKIPPED)
    assert {driver.state_machine.vm(name).pool for name in skipped} <= {"pickup"}
    assert not driver.state_machine.state.tables.permits


def test_step_for_an_unknown_vm_or_wave_is_refused(driver):
    """Guards against applying steps that name an unknown wave or VM."""
    wave = driver.start("pickup")
    for name, vm, code in [
        ("wave-0", "pickup-vm-1", ResultCode.UNKNOWN_WAVE),
        (wave.wave_id, "restock-vm-1", ResultCode.UNKNOWN_VM),
    ]:
        step = AdvanceWave(wave=name, vm=vm, status=WaveVmStatus.DRAINING, expected_epoch=1)
        assert driver.state_machine.apply(step).failure.code is code

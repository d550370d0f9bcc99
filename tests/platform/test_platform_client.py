"""Contract between the platform client and a faulty platform."""

from __future__ import annotations

import pytest

from hyssopway.platform import PlatformAction, PlatformClient, PlatformState
from hyssopway.result import ResultCode
from hyssopway_standins.platform import PlatformFault, PlatformStandIn, SimulatedVm


@pytest.fixture
async def platform():
    stand_in = PlatformStandIn(vms={"vm-1": SimulatedVm(), "vm-2": SimulatedVm()})
    await stand_in.start()
    yield stand_in
    await stand_in.stop()


@pytest.fixture
async def client(platform):
    opened = PlatformClient.open(url=platform.url, call_timeout_s=0.5, poll_s=0.01)
    yield opened
    await opened.close()


# Faults of one operation, how often it takes effect, and how often it is requested.
CASES = {
    "no fault": ([], 1, 1),
    "says done and is not": ([PlatformFault.FALSE_SUCCESS] * 2, 1, 3),
    "never answers": ([PlatformFault.NO_RESPONSE], 1, 1),
    "answers late": ([PlatformFault.LATE_RESPONSE], 1, 2),
    "breaks, then says done": ([PlatformFault.SERVER_ERROR, PlatformFault.FALSE_SUCCESS], 1, 3),
    "done twice by the platform": ([PlatformFault.EXECUTED_TWICE], 2, 1),
}


@pytest.mark.parametrize("action", list(PlatformAction))
@pytest.mark.parametrize("case", CASES)
async def test_operation_completes_under_one_id(platform, client, action, case):
    """Guards against trusting a false success and against a second reboot after a lost response."""
    faults, effects, posts = CASES[case]
    platform.faults["vm-1"] = list(faults)
    result = await client.complete(vm="vm-1", action=action, operation_id="op-1", timeout_s=5.0)
    truth = platform.vms["vm-1"]
    assert result.is_ok()
    assert truth.state is result.ok.state
    assert (truth.done, truth.posts) == ({"op-1": effects}, posts)
    repeated = await client.complete(vm="vm-1", action=action, operation_id="op-1", timeout_s=5.0)
    assert repeated.is_ok()
    assert (truth.done, truth.posts) == ({"op-1": effects}, posts)


@pytest.mark.parametrize(
    ("vm", "faults", "code"),
    [
        ("vm-9", [], ResultCode.PLATFORM_REFUSED),
        ("vm-1", [PlatformFault.FALSE_SUCCESS] * 500, ResultCode.PLATFORM_UNCERTAIN),
        ("vm-1", [PlatformFault.SERVER_ERROR] * 500, ResultCode.PLATFORM_UNCERTAIN),
    ],
)
async def test_operation_never_listed_as_completed_fails(platform, client, vm, faults, code):
    """Guards against a reboot that counts as completed because the platform's response said so."""
    platform.faults[vm] = faults
    result = await client.complete(vm=vm, action=PlatformAction.REBOOT, operation_id="op-1", timeout_s=0.3)
    assert result.error.code is code
    assert not platform.vms["vm-1"].done


async def test_unreachable_platform_is_reported_as_not_run(session):
    """Guards against reporting that an operation may have run although it was never sent."""
    client = PlatformClient(url="http://127.0.0.1:1", session=session, poll_s=0.01)
    result = await client.start(vm="vm-1", action=PlatformAction.DRAIN, operation_id="op-1")
    assert (result.error.code, result.error.work) == (ResultCode.PLATFORM_UNREACHABLE, "not_run")


async def test_platform_reports_broken_vm_as_healthy(platform, client):
    """Shows why the platform's health report does not end a maintenance: the VM may fail every request."""
    platform.faults["vm-1"] = [PlatformFault.FALSELY_HEALTHY]
    await client.complete(vm="vm-1", action=PlatformAction.RETURN, operation_id="op-1", timeout_s=5.0)
    reported = {vm.name: (vm.healthy, vm.state) for vm in (await client.list_vms()).ok}
    assert reported["vm-1"] == (True, PlatformState.SERVING)
    assert not platform.vms["vm-1"].works

"""Maintenance waves through real processes with a failing platform, checked at the platform and workers."""

from __future__ import annotations

import asyncio
import secrets
from collections import Counter
from typing import TYPE_CHECKING, Any

import pytest

from hyssopway.control.record import RunOutcome
from hyssopway_standins.job_load import submit_jobs
from hyssopway_standins.platform import PlatformFault, PlatformStandIn, SimulatedVm
from hyssopway_standins.processes import Deployment
from hyssopway_standins.waiting import wait_until

if TYPE_CHECKING:
    import aiohttp

    from hyssopway_standins.fleet_stand_in import FleetStandIn
    from hyssopway_standins.operator_client import OperatorClient

VMS = [f"pickup-vm-{number}" for number in range(1, 9)]
TIMEOUT_S = 90.0


@pytest.fixture
async def platform():
    prepared = PlatformStandIn(vms={vm: SimulatedVm() for vm in VMS})
    await prepared.start()
    yield prepared
    await prepared.stop()


@pytest.fixture
async def deployment(tmp_path: Any, platform: PlatformStandIn):
    prepared = Deployment.prepare(name="pantry", folder=tmp_path, overrides={"platform_url": platform.url})
    prepared.start()
    try:
        await prepared.wait_ready()
        yield prepared
    finally:
        prepared.stop()


@pytest.mark.faults
async def test_wave_with_failing_platform_and_lost_leader(
    deployment: Deployment,
    platform: PlatformStandIn,
    fleet_stand_in: FleetStandIn,
    operator: OperatorClient,
    session: aiohttp.ClientSession,
):
    """Guards against repeated reboots, tasks interrupted by reboots, and more VMs down than allowed."""
    interrupted_tasks: list[str] = []
    down_counts: list[Counter[str]] = []

    def reboot(vm: str) -> None:
        worker = fleet_stand_in.workers[vm]
        interrupted_tasks.extend(worker.tasks)
        worker.stop()
        worker.boot_id = secrets.token_hex(4)
        worker.start()
        down_counts.append(Counter("pickup" for truth in platform.vms.values() if truth.state != "serving"))

    platform.on_reboot = reboot
    platform.faults = {
        "pickup-vm-1": [PlatformFault.FALSE_SUCCESS],
        "pickup-vm-2": [PlatformFault.SERVER_ERROR, PlatformFault.LATE_RESPONSE],
        "pickup-vm-3": [PlatformFault.NO_RESPONSE],
    }
    key = await operator.grant_key("granite-hearth")
    jobs = asyncio.create_task(
        submit_jobs(
            session,
            url=deployment.daemons["portland-1"].url,
            key=key,
            pools=("pickup",),
            accepted=[],
            duration_s=TIMEOUT_S,
        )
    )
    await wait_until(lambda: all_registered(operator), timeout_s=TIMEOUT_S)
    wave = (await operator.post("/v1/waves", {"pools": ["pickup"]}))["reference"]
    await wait_until(lambda: has_done_at_least(operator, wave, 2), timeout_s=TIMEOUT_S)
    leader = next(
        daemon["leader"] for daemon in (await operator.get("/v1/status"))["daemons"] if daemon.get("leader")
    )
    deployment.daemons[leader].kill()
    if leader == "nashua-1":
        operator.url = deployment.daemons["nashua-2"].url
    if len(deployment.entries(deployment.daemons[leader].zone)) == 1:
        # Without its only entry all VMs of a zone count as down, which uses up the budget of the pool, so the wave rightly
        # waits until the entry is back.
        await wait_until(lambda: has_other_leader(operator, leader), timeout_s=TIMEOUT_S)
        deployment.daemons[leader].start()
    try:
        wave_status = await wait_until(lambda: read_ended_wave(operator, wave), timeout_s=TIMEOUT_S)
    finally:
        jobs.cancel()
    assert wave_status["status"] == "done", wave_status
    reboots = {vm: truth.done[f"{wave}-{vm}-reboot"] for vm, truth in platform.vms.items()}
    assert reboots == dict.fromkeys(VMS, 1)
    assert interrupted_tasks == []
    assert max(counter["pickup"] for counter in down_counts) <= 2
    states = {
        item["vm"]["name"]: item["vm"]["state"]
        for item in (await operator.get("/v1/vms"))["vms"]
        if item["vm"]["pool"] == "pickup"
    }
    assert states == dict.fromkeys(VMS, "ready")
    assert {truth.state for truth in platform.vms.values()} == {"serving"}


@pytest.mark.faults
async def test_canary_that_fails_all_jobs_after_its_reboot_pauses_the_wave(
    deployment: Deployment, platform: PlatformStandIn, fleet_stand_in: FleetStandIn, operator: OperatorClient
):
    """Guards against a wave that continues because the platform reports a VM as healthy whose jobs fail."""
    rebooted: list[str] = []

    def reboot(vm: str) -> None:
        worker = fleet_stand_in.workers[vm]
        worker.stop()
        if not rebooted:
            worker.choose_outcome = lambda _: RunOutcome.FAILED
        rebooted.append(vm)
        worker.restart()

    platform.on_reboot = reboot
    key = await operator.grant_key("granite-hearth")
    accepted: list[str] = []
    jobs = asyncio.create_task(
        submit_jobs(
            operator.session,
            url=deployment.daemons["portland-1"].url,
            key=key,
            pools=("pickup",),
            accepted=accepted,
            duration_s=TIMEOUT_S,
        )
    )
    try:
        await wait_until(lambda: all_registered(operator), timeout_s=TIMEOUT_S)
        wave = (await operator.post("/v1/waves", {"pools": ["pickup"]}))["reference"]
        wave_status = await wait_until(lambda: read_ended_wave(operator, wave), timeout_s=TIMEOUT_S)
        assert (wave_status["status"], wave_status["reason"]) == (
            "paused",
            f"canary {rebooted[0]} fails after its reboot",
        )
        assert await read_vm_state(operator, rebooted[0]) == "quarantined"
        fleet_stand_in.workers[rebooted[0]].choose_outcome = lambda _: RunOutcome.DONE
        await operator.post(f"/v1/waves/{wave}/resume", {"expected_epoch": wave_status["epoch"]})
        wave_status = await wait_until(lambda: read_ended_wave(operator, wave), timeout_s=TIMEOUT_S)
        await wait_until(lambda: is_ready(operator, rebooted[0]), timeout_s=TIMEOUT_S)
    finally:
        jobs.cancel()
    assert wave_status["status"] == "done", wave_status
    assert sorted(rebooted) == VMS
    await wait_until(lambda: all_done(operator, accepted), timeout_s=TIMEOUT_S)


async def read_vm_state(operator: OperatorClient, name: str) -> str:
    vms = (await operator.get("/v1/vms"))["vms"]
    return next(item["vm"]["state"] for item in vms if item["vm"]["name"] == name)


async def is_ready(operator: OperatorClient, name: str) -> bool:
    return await read_vm_state(operator, name) == "ready"


async def all_done(operator: OperatorClient, accepted: list[str]) -> bool:
    jobs = [await operator.get(f"/v1/explain/job/{job_id}") for job_id in accepted]
    return all(job["status"] == "done" for job in jobs)


async def all_registered(operator: OperatorClient) -> bool:
    vms = (await operator.get("/v1/vms"))["vms"]
    return sum(item["vm"]["pool"] == "pickup" for item in vms) == len(VMS)


async def has_other_leader(operator: OperatorClient, former: str) -> bool:
    daemons = (await operator.get("/v1/status"))["daemons"]
    return any(daemon.get("leader") not in (None, "", former) for daemon in daemons)


async def has_done_at_least(operator: OperatorClient, wave: str, count: int) -> bool:
    return (await operator.get(f"/v1/waves/{wave}"))["progress"].get("done", 0) >= count


async def read_ended_wave(operator: OperatorClient, wave: str) -> Any:
    wave_status = await operator.get(f"/v1/waves/{wave}")
    return wave_status if wave_status["status"] != "running" else None

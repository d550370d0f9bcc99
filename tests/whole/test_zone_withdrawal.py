"""Withdrawal and return of zones through real processes, checked against the starts on the workers."""

from __future__ import annotations

import asyncio
import signal
import time
from collections import Counter
from dataclasses import replace
from typing import TYPE_CHECKING, Any

import pytest

from hyssopway.control.record import VmState
from hyssopway_standins.job_load import submit_jobs
from hyssopway_standins.operator_client import OperatorClient
from hyssopway_standins.waiting import wait_until

if TYPE_CHECKING:
    import aiohttp

    from hyssopway_standins.fleet_stand_in import FleetStandIn
    from hyssopway_standins.processes import Deployment

TIMEOUT_S = 60.0
# Guarantee 5 allows starts in a withdrawn zone for 5 s.
START_LIMIT_S = 5.0
ZONE = "Portland"


@pytest.mark.faults
async def test_zone_is_withdrawn_and_returned_under_load(
    deployment: Deployment,
    fleet_stand_in: FleetStandIn,
    operator: OperatorClient,
    session: aiohttp.ClientSession,
):
    """Guards against starts after a withdrawal, exceeded budgets, lost jobs and VMs without a pool."""
    key = await operator.grant_key("granite-hearth")
    url = deployment.daemons["nashua-1"].url
    accepted: list[str] = []
    load = asyncio.create_task(
        submit_jobs(
            session, url=url, key=key, pools=("restock", "pickup"), accepted=accepted, duration_s=TIMEOUT_S
        )
    )
    try:
        await wait_until(lambda: all_registered(operator), timeout_s=TIMEOUT_S)
        before = await read_pools(operator)
        preview = await operator.get(f"/v1/zones/{ZONE}/withdrawal")
        assert preview["missing_vms"] == dict.fromkeys(["dispatch", "matching", "pickup", "restock"], 2)
        await operator.post(f"/v1/zones/{ZONE}", {"status": "withdrawn", "expected_epoch": 0})
        withdrawn_at = time.monotonic()
        await wait_until(lambda: is_zone_drained(operator), timeout_s=TIMEOUT_S)
        await asyncio.sleep(max(0.0, withdrawn_at + START_LIMIT_S + 3 - time.monotonic()))
        returned_at = time.monotonic()
        await operator.post(f"/v1/zones/{ZONE}", {"status": "returning", "expected_epoch": 1})
        await wait_until(lambda: is_zone_open(operator, ZONE), timeout_s=TIMEOUT_S)
    finally:
        load.cancel()
    starts = [
        start[0]
        for worker in fleet_stand_in.workers.values()
        if worker.zone == ZONE
        for start in worker.starts
    ]
    assert not [at for at in starts if withdrawn_at + START_LIMIT_S < at < returned_at]
    assert set(await read_pools(operator)) == set(before)
    await wait_until(lambda: all_done(operator, accepted), timeout_s=TIMEOUT_S)
    runs = Counter(
        start[1]
        for worker in fleet_stand_in.workers.values()
        for start in worker.starts
        if start[1] in accepted
    )
    assert set(runs) == set(accepted)
    restarted = [job_id for job_id, count in runs.items() if count > 1]
    jobs = [await operator.get(f"/v1/explain/job/{job_id}") for job_id in restarted]
    assert all(job["checkpoint"] for job in jobs), "a planned stop interrupted a job without a checkpoint"


@pytest.mark.faults
@pytest.mark.parametrize(("names", "suspended"), [((ZONE, "Providence"), ()), ((ZONE,), ("portland-1",))])
async def test_withdrawal_of_two_zones_or_of_a_suspended_one(
    deployment: Deployment,
    fleet_stand_in: FleetStandIn,
    operator: OperatorClient,
    names: tuple[str, ...],
    suspended: tuple[str, ...],
):
    """Guards against late starts by a resumed daemon, lost jobs and budgets counted separately for each zone."""
    key = await operator.grant_key("granite-hearth")
    accepted: list[str] = []
    load = asyncio.create_task(
        submit_jobs(
            operator.session,
            url=deployment.daemons["nashua-1"].url,
            key=key,
            pools=("restock", "pickup"),
            accepted=accepted,
            duration_s=TIMEOUT_S,
        )
    )
    try:
        await wait_until(lambda: all_registered(operator), timeout_s=TIMEOUT_S)
        before = set(await read_pools(operator))
        await wait_until(lambda: all_zones_started(fleet_stand_in, names), timeout_s=TIMEOUT_S)
        for daemon in suspended:
            deployment.daemons[daemon].send(signal.SIGSTOP)
        for zone in names:
            await operator.post(f"/v1/zones/{zone}", {"status": "withdrawn", "expected_epoch": 0})
        withdrawn_at = time.monotonic()
        # The daemon resumes with its state from before the withdrawal, when starts are no longer allowed.
        await check_budgets(operator, until=withdrawn_at + START_LIMIT_S, unplanned=bool(suspended))
        for daemon in suspended:
            deployment.daemons[daemon].send(signal.SIGCONT)
        await check_budgets(operator, until=withdrawn_at + 2 * START_LIMIT_S, unplanned=bool(suspended))
        returned_at = time.monotonic()
        for zone in names:
            await operator.post(f"/v1/zones/{zone}", {"status": "returning", "expected_epoch": 1})
        for zone in names:
            await wait_until(
                lambda zone=zone: is_zone_open(operator, zone, unplanned=bool(suspended)), timeout_s=TIMEOUT_S
            )
    finally:
        load.cancel()
    assert not list_starts(fleet_stand_in, names, interval=(withdrawn_at + START_LIMIT_S, returned_at))
    assert set(await read_pools(operator)) == before
    await wait_until(lambda: all_done(operator, accepted), timeout_s=TIMEOUT_S)


@pytest.mark.faults
async def test_competing_operators_withdraw_and_return_a_zone_repeatedly(
    deployment: Deployment,
    fleet_stand_in: FleetStandIn,
    operator: OperatorClient,
    session: aiohttp.ClientSession,
):
    """Guards against two changes of one epoch, a retry that takes effect twice, and VMs that stay stopped."""
    key = await operator.grant_key("granite-hearth")
    accepted: list[str] = []
    url = deployment.daemons["worcester-1"].url
    other = OperatorClient(session=session, url=url, token=operator.token, name="lee")
    load = asyncio.create_task(
        submit_jobs(
            session, url=url, key=key, pools=("restock", "pickup"), accepted=accepted, duration_s=TIMEOUT_S
        )
    )
    path = f"/v1/zones/{ZONE}"
    try:
        await wait_until(lambda: all_registered(operator), timeout_s=TIMEOUT_S)
        before = await read_pools(operator)
        for attempt in range(6):
            # Alternates the status, so that the successful operator always makes a change.
            status = ("withdrawn", "returning")[attempt % 2]
            body = {"status": status, "expected_epoch": (await read_zone(operator, ZONE))["epoch"]}
            competitors = ((operator, f"kim-{attempt}"), (other, f"lee-{attempt}"))
            answers = await asyncio.gather(
                *(client.post(path, body, request_id=name) for client, name in competitors),
                return_exceptions=True,
            )
            won = [number for number, response in enumerate(answers) if isinstance(response, dict)]
            assert len(won) == 1, answers
            assert "GENERATION_CONFLICT" in str(answers[1 - won[0]])
            winner, name = competitors[won[0]]
            retried = await replace(winner, url=competitors[1 - won[0]][0].url).post(
                path, body, request_id=name
            )
            assert retried == answers[won[0]]
            await check_budgets(operator, until=time.monotonic() + 1.0, unplanned=False)
        await wait_until(lambda: is_zone_open(operator, ZONE), timeout_s=TIMEOUT_S)
        await wait_until(lambda: has_pools(operator, before), timeout_s=TIMEOUT_S)
    finally:
        load.cancel()
    await wait_until(lambda: all_done(operator, accepted), timeout_s=TIMEOUT_S)


def list_starts(
    fleet_stand_in: FleetStandIn, names: tuple[str, ...], *, interval: tuple[float, float]
) -> list[float]:
    workers = [worker for worker in fleet_stand_in.workers.values() if worker.zone in names]
    return [at for worker in workers for at, *_ in worker.starts if interval[0] < at < interval[1]]


async def all_zones_started(fleet_stand_in: FleetStandIn, names: tuple[str, ...]) -> bool:
    return all(
        any(worker.starts for worker in fleet_stand_in.workers.values() if worker.zone == zone)
        for zone in names
    )


async def check_budgets(operator: OperatorClient, *, until: float, unplanned: bool) -> None:
    """Checks the budgets until the given monotonic time in seconds."""
    while time.monotonic() < until:
        await list_vms(operator, unplanned=unplanned)
        await asyncio.sleep(0.1)


async def read_zone(operator: OperatorClient, name: str) -> Any:
    zones = (await operator.get("/v1/zones"))["zones"]
    return next(zone for zone in zones if zone["name"] == name)


async def has_pools(operator: OperatorClient, expected: dict[str, str]) -> bool:
    return await read_pools(operator) == expected


async def list_vms(operator: OperatorClient, *, unplanned: bool = False) -> list[Any]:
    """Returns all VMs after checking that at most 2 VMs of each pool are down.

    Args:
        operator: Client of the operator API.
        unplanned: Whether to count planned stops only, because failures may exceed a budget.
    """
    vms = [item["vm"] for item in (await operator.get("/v1/vms"))["vms"]]
    counted = {"draining", "drained", "rebooting"} if unplanned else set(VmState) - {VmState.READY}
    down = Counter(vm["pool"] for vm in vms if vm["state"] in counted)
    assert max(down.values(), default=0) <= 2, down
    return vms


async def read_pools(operator: OperatorClient) -> dict[str, str]:
    return {vm["name"]: vm["pool"] for vm in await list_vms(operator)}


async def all_registered(operator: OperatorClient) -> bool:
    return len(await list_vms(operator)) == 40


async def is_zone_drained(operator: OperatorClient) -> bool:
    vms = [vm for vm in await list_vms(operator) if vm["zone"] == ZONE and vm["pool"] != "back-office"]
    return all(vm["state"] == "drained" for vm in vms)


async def is_zone_open(operator: OperatorClient, zone: str, *, unplanned: bool = False) -> bool:
    known = await read_zone(operator, zone)
    vms = [vm for vm in await list_vms(operator, unplanned=unplanned) if vm["zone"] == zone]
    return known["status"] == "open" and all(vm["state"] == "ready" for vm in vms)


async def all_done(operator: OperatorClient, accepted: list[str]) -> bool:
    jobs = [await operator.get(f"/v1/explain/job/{job_id}") for job_id in accepted]
    return all(job["status"] == "done" for job in jobs)

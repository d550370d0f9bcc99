"""Withdrawal and return of a zone through real processes; truth is counted at the workers."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from typing import TYPE_CHECKING, Any

import pytest

from hyssopway_standins.job_load import submit_jobs
from hyssopway_standins.waiting import wait_until

if TYPE_CHECKING:
    import aiohttp

    from hyssopway_standins.operator_client import OperatorClient
    from hyssopway_standins.outside import Outside
    from hyssopway_standins.processes import Deployment

RUN_S = 60.0
# Promise 5 allows 5 s.
LAST_START_S = 5.0
ZONE = "Portland"


@pytest.mark.faults
async def test_zone_leaves_and_returns_under_load(
    deployment: Deployment, outside: Outside, operator: OperatorClient, session: aiohttp.ClientSession
):
    """Guards against starts after a withdrawal, exceeded budgets, lost jobs and VMs in no pool."""
    key = await operator.grant_key("granite-hearth")
    url = deployment.daemons["nashua-1"].url
    accepted: list[str] = []
    load = asyncio.create_task(
        submit_jobs(session, url=url, key=key, pools=("restock", "pickup"), accepted=accepted, for_s=RUN_S)
    )
    try:
        await wait_until(lambda: all_registered(operator), timeout_s=RUN_S)
        before = await pools(operator)
        dry = await operator.get(f"/v1/zones/{ZONE}/withdrawal")
        assert dry["missing_vms"] == dict.fromkeys(["dispatch", "matching", "pickup", "restock"], 2)
        await operator.post(f"/v1/zones/{ZONE}", {"status": "withdrawn", "expected_epoch": 0})
        withdrawn_at = time.monotonic()
        await wait_until(lambda: emptied(operator), timeout_s=RUN_S)
        await asyncio.sleep(max(0.0, withdrawn_at + LAST_START_S + 3 - time.monotonic()))
        returned_at = time.monotonic()
        await operator.post(f"/v1/zones/{ZONE}", {"status": "returning", "expected_epoch": 1})
        await wait_until(lambda: opened(operator), timeout_s=RUN_S)
    finally:
        load.cancel()
    starts = [
        start[0] for worker in outside.workers.values() if worker.zone == ZONE for start in worker.starts
    ]
    assert not [at for at in starts if withdrawn_at + LAST_START_S < at < returned_at]
    assert set(await pools(operator)) == set(before)
    await wait_until(lambda: all_done(operator, accepted), timeout_s=RUN_S)
    runs = Counter(
        start[1] for worker in outside.workers.values() for start in worker.starts if start[1] in accepted
    )
    assert set(runs) == set(accepted)
    again = [job_id for job_id, count in runs.items() if count > 1]
    jobs = [await operator.get(f"/v1/explain/job/{job_id}") for job_id in again]
    assert all(job["checkpoint"] for job in jobs), "a planned stop cut off a job without a checkpoint"


async def list_vms(operator: OperatorClient) -> list[Any]:
    """Reads all VMs and checks the budgets of 2 VMs down in each pool."""
    vms = [item["vm"] for item in (await operator.get("/v1/vms"))["vms"]]
    down = Counter(vm["pool"] for vm in vms if vm["state"] != "ready")
    assert max(down.values(), default=0) <= 2, down
    return vms


async def pools(operator: OperatorClient) -> dict[str, str]:
    return {vm["name"]: vm["pool"] for vm in await list_vms(operator)}


async def all_registered(operator: OperatorClient) -> bool:
    return len(await list_vms(operator)) == 40


async def emptied(operator: OperatorClient) -> bool:
    vms = [vm for vm in await list_vms(operator) if vm["zone"] == ZONE and vm["pool"] != "back-office"]
    return all(vm["state"] == "drained" for vm in vms)


async def opened(operator: OperatorClient) -> bool:
    zones = {zone["name"]: zone["status"] for zone in (await operator.get("/v1/zones"))["zones"]}
    vms = [vm for vm in await list_vms(operator) if vm["zone"] == ZONE]
    return zones[ZONE] == "open" and all(vm["state"] == "ready" for vm in vms)


async def all_done(operator: OperatorClient, accepted: list[str]) -> bool:
    jobs = [await operator.get(f"/v1/explain/job/{job_id}") for job_id in accepted]
    return all(job["status"] == "done" for job in jobs)

"""Requests and jobs through real processes, without faults."""

from __future__ import annotations

import asyncio
import json
import time
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    import aiohttp

    from hyssopway_standins.fleet_stand_in import FleetStandIn
    from hyssopway_standins.operator_client import OperatorClient
    from hyssopway_standins.processes import Deployment


async def test_request_through_each_entry_vm_returns_complete_response(
    deployment: Deployment, fleet_stand_in: FleetStandIn, session: aiohttp.ClientSession
):
    """Guards against an entry VM that cannot reach endpoints of other zones."""
    for daemon in deployment.daemons.values():
        response = await _call_until_served(session, f"{daemon.url}/call/pickup-schedule/plan", data=b"route")
        assert response == b"route"


async def test_non_idempotent_request_runs_once_over_retries(
    deployment: Deployment,
    fleet_stand_in: FleetStandIn,
    operator: OperatorClient,
    session: aiohttp.ClientSession,
):
    """Guards against repeated execution when a load balancer retries a request at other entry VMs."""
    key = await operator.grant_key("casco-bay")
    headers = {"Authorization": f"Bearer {key}", "Idempotency-Key": "van-1"}
    for daemon in deployment.daemons.values():
        url = f"{daemon.url}/call/van-dispatch/send"
        assert await _call_until_served(session, url, data=b"van", headers=headers) == b"van"
    assert sum(endpoint.request_counts["van-1"] for endpoint in fleet_stand_in.endpoints.values()) == 1


async def test_job_is_accepted_placed_run_and_explained(
    deployment: Deployment,
    fleet_stand_in: FleetStandIn,
    operator: OperatorClient,
    session: aiohttp.ClientSession,
):
    """Guards against a job that is accepted and then lost."""
    key = await operator.grant_key("granite-hearth")
    headers = {"Authorization": f"Bearer {key}"}
    spec = {"task_kind": "plan", "pool": "restock", "resources": {"cores": 4, "memory_gb": 8}, "run_s": 10}
    accepting, reading = deployment.daemons["portland-1"].url, deployment.daemons["worcester-2"].url
    accepted = await _call_until_served(session, f"{accepting}/v1/jobs", json=spec, headers=headers)
    job_id = json.loads(accepted)["job_id"]
    job = await _wait_for_end(session, f"{reading}/v1/jobs/{job_id}", headers=headers)
    assert job["status"] == "done"
    assert (
        sum(start[1] == job_id for worker in fleet_stand_in.workers.values() for start in worker.starts) == 1
    )
    explained = await operator.get(f"/v1/explain/job/{job_id}")
    assert any("run 1 on" in line for line in explained["history"])


async def _call_until_served(session: aiohttp.ClientSession, url: str, **options: Any) -> bytes:
    deadline = time.monotonic() + 10
    while True:
        async with session.post(url, **options) as response:
            body = await response.read()
            if response.status in (200, 202):
                return body
        assert time.monotonic() < deadline, body
        await asyncio.sleep(0.1)


async def _wait_for_end(session: aiohttp.ClientSession, url: str, **options: Any) -> Any:
    deadline = time.monotonic() + 10
    while True:
        async with session.get(url, **options) as response:
            job = await response.json()
        if job.get("status") in ("done", "failed", "cancelled", "cannot_run"):
            return job
        assert time.monotonic() < deadline, job
        await asyncio.sleep(0.1)

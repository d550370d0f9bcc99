"""Processes that are suspended and resumed."""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING

import pytest

from hyssopway.replica import AUTHORITY_TTL_S

if TYPE_CHECKING:
    import aiohttp

    from hyssopway_standins.fleet_stand_in import FleetStandIn
    from hyssopway_standins.operator_client import OperatorClient
    from hyssopway_standins.processes import Deployment


@pytest.mark.parametrize("name", ["worcester-2", "portland-1"])
async def test_withdrawn_key_is_refused_by_a_resumed_process(
    deployment: Deployment,
    fleet_stand_in: FleetStandIn,
    operator: OperatorClient,
    session: aiohttp.ClientSession,
    name: str,
):
    """Guards against a resumed follower or member that still trusts its state from before the suspension."""
    key = await operator.grant_key("casco-bay")
    daemon = deployment.daemons[name]
    url = f"{daemon.url}/call/van-dispatch/send"
    daemon.send(signal.SIGSTOP)
    await operator.delete(f"/v1/keys/{key.split('_')[1]}")
    await asyncio.sleep(AUTHORITY_TTL_S + 0.2)
    headers = {"Authorization": f"Bearer {key}", "Idempotency-Key": f"van-{name}"}

    async def call() -> int:
        async with session.post(url, data=b"van", headers=headers) as response:
            return response.status

    calls = [asyncio.create_task(call()) for _ in range(5)]
    await asyncio.sleep(0.1)
    daemon.send(signal.SIGCONT)
    assert set(await asyncio.gather(*calls)) <= {403, 503}
    assert sum(endpoint.request_counts[f"van-{name}"] for endpoint in fleet_stand_in.endpoints.values()) == 0

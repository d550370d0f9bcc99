"""A burst of requests while entry daemons and endpoints are killed, suspended and stopped."""

from __future__ import annotations

import asyncio
import random
import signal
import sys
from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import aiohttp
import pytest

if TYPE_CHECKING:
    from hyssopway_standins.fleet_stand_in import FleetStandIn
    from hyssopway_standins.operator_client import OperatorClient
    from hyssopway_standins.processes import Deployment

SEED = 20
PLAIN_REQUESTS = 2500
NON_IDEMPOTENT_KEYS = 150
SENDS_PER_KEY = 4
CONCURRENCY = 120


@dataclass(slots=True)
class Observations:
    """What callers were told.

    Attributes:
        outcomes: Number of requests by outcome.
        not_run: Requests that were reported as not run.
        corrupted: Requests whose response differs from their body.
        succeeded: Requests with a successful response.
    """

    outcomes: Counter[str] = field(default_factory=Counter)
    not_run: set[str] = field(default_factory=set)
    corrupted: list[str] = field(default_factory=list)
    succeeded: set[str] = field(default_factory=set)


@pytest.mark.faults
async def test_guarantees_hold_in_a_burst_with_faults(
    deployment: Deployment, fleet_stand_in: FleetStandIn, operator: OperatorClient
):
    """Guards against exceeded slots, repeated execution, false "not run" and corrupted responses."""
    rng = random.Random(SEED)
    key = await operator.grant_key("casco-bay")
    await asyncio.sleep(2.5)  # slow start of the endpoints
    for endpoint in fleet_stand_in.endpoints.values():
        endpoint.service_s = 0.1  # long enough that all slots are in use
    urls = [daemon.url for daemon in deployment.daemons.values()]
    observed = Observations()
    semaphore = asyncio.Semaphore(CONCURRENCY)
    timeout = aiohttp.ClientTimeout(total=15)
    async with aiohttp.ClientSession(timeout=timeout, connector=aiohttp.TCPConnector(limit=0)) as session:
        calls = [
            _send(
                session,
                semaphore,
                observed,
                url=f"{rng.choice(urls)}/call/pickup-schedule/p",
                name=f"plain-{n}",
            )
            for n in range(PLAIN_REQUESTS)
        ]
        names = [f"once-{n}" for n in range(NON_IDEMPOTENT_KEYS)] * SENDS_PER_KEY
        headers = {"Authorization": f"Bearer {key}"}
        calls += [
            _send(
                session,
                semaphore,
                observed,
                url=f"{rng.choice(urls)}/call/van-dispatch/s",
                name=name,
                headers=headers,
            )
            for name in names
        ]
        rng.shuffle(calls)
        async with asyncio.TaskGroup() as group:
            group.create_task(_inject_faults(deployment, fleet_stand_in))
            for call in calls:
                group.create_task(call)
    _check(observed, fleet_stand_in=fleet_stand_in)


async def _send(session, semaphore, observed, *, url, name, headers=None) -> None:
    body = f"{name} ".encode() * (1 + len(name) * 40)
    async with semaphore:
        # Spreads the requests over the time of the faults.
        await asyncio.sleep(0.2)
        try:
            headers = {"Idempotency-Key": name, "Hyssopway-Timeout": "5", **(headers or {})}
            async with session.post(url, data=body, headers=headers) as response:
                content = await response.read()
                if response.status == 200:
                    observed.outcomes["ok"] += 1
                    observed.succeeded.add(name)
                    if content != body:
                        observed.corrupted.append(name)
                    return
                failure = await response.json()
        except (aiohttp.ClientError, TimeoutError) as error:
            observed.outcomes[type(error).__name__] += 1
            return
    observed.outcomes[f"{failure['name']} {failure['work']}"] += 1
    if failure["work"] == "not_run":
        observed.not_run.add(name)


async def _inject_faults(deployment: Deployment, fleet_stand_in: FleetStandIn) -> None:
    endpoints = [item for item in fleet_stand_in.endpoints.values() if item.service == "pickup-schedule"]
    await asyncio.sleep(0.7)
    deployment.daemons["nashua-1"].kill()  # home of all endpoints of its zone
    await asyncio.sleep(0.7)
    await endpoints[0].stop(leave=False)
    deployment.daemons["worcester-1"].send(signal.SIGSTOP)
    await asyncio.sleep(0.7)
    await endpoints[1].stop()
    await asyncio.sleep(2.0)
    deployment.daemons["worcester-1"].send(signal.SIGCONT)


def _check(observed: Observations, *, fleet_stand_in: FleetStandIn) -> None:
    sys.stdout.write(f"outcomes: {dict(observed.outcomes)}\n")
    seen: Counter[str] = Counter()
    for endpoint in fleet_stand_in.endpoints.values():
        assert endpoint.peak_in_progress <= endpoint.slots, endpoint.name
        seen += endpoint.request_counts
    assert not observed.corrupted
    assert max(count for name, count in seen.items() if name.startswith("once-")) == 1
    assert [name for name in observed.not_run if name.startswith("plain-") and seen[name]] == []
    assert [name for name in observed.succeeded if not seen[name]] == []
    assert observed.outcomes["ok"] > (PLAIN_REQUESTS + NON_IDEMPOTENT_KEYS) / 2

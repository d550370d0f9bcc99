"""Requests in a burst while entries and endpoints are killed, frozen and cut."""

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
ONCE_KEYS = 150
RESENDS = 4
AT_ONCE = 120


@dataclass(slots=True)
class Truth:
    """What callers were told."""

    outcomes: Counter[str] = field(default_factory=Counter)
    not_run: set[str] = field(default_factory=set)
    wrong: list[str] = field(default_factory=list)
    answered: set[str] = field(default_factory=set)


@pytest.mark.faults
async def test_promises_hold_in_a_burst_with_faults(
    deployment: Deployment, fleet_stand_in: FleetStandIn, operator: OperatorClient
):
    """Guards against exceeded slots, second runs, false "not run" and damaged answers."""
    rng = random.Random(SEED)
    key = await operator.grant_key("casco-bay")
    await asyncio.sleep(2.5)  # slow start of the endpoints
    for endpoint in fleet_stand_in.endpoints.values():
        endpoint.service_s = 0.1  # so that the slots are all in use
    urls = [daemon.url for daemon in deployment.daemons.values()]
    truth = Truth()
    gate = asyncio.Semaphore(AT_ONCE)
    timeout = aiohttp.ClientTimeout(total=15)
    async with aiohttp.ClientSession(timeout=timeout, connector=aiohttp.TCPConnector(limit=0)) as session:
        calls = [
            _send(session, gate, truth, url=f"{rng.choice(urls)}/call/pickup-schedule/p", name=f"plain-{n}")
            for n in range(PLAIN_REQUESTS)
        ]
        names = [f"once-{n}" for n in range(ONCE_KEYS)] * RESENDS
        headers = {"Authorization": f"Bearer {key}"}
        calls += [
            _send(
                session,
                gate,
                truth,
                url=f"{rng.choice(urls)}/call/van-dispatch/s",
                name=name,
                headers=headers,
            )
            for name in names
        ]
        rng.shuffle(calls)
        async with asyncio.TaskGroup() as group:
            group.create_task(_make_faults(deployment, fleet_stand_in))
            for call in calls:
                group.create_task(call)
    _check(truth, fleet_stand_in=fleet_stand_in)


async def _send(session, gate, truth, *, url, name, headers=None) -> None:
    body = f"{name} ".encode() * (1 + len(name) * 40)
    async with gate:
        # Spreads the requests over the faults.
        await asyncio.sleep(0.2)
        try:
            headers = {"Idempotency-Key": name, "Hyssopway-Timeout": "5", **(headers or {})}
            async with session.post(url, data=body, headers=headers) as answer:
                content = await answer.read()
                if answer.status == 200:
                    truth.outcomes["ok"] += 1
                    truth.answered.add(name)
                    if content != body:
                        truth.wrong.append(name)
                    return
                failure = await answer.json()
        except (aiohttp.ClientError, TimeoutError) as error:
            truth.outcomes[type(error).__name__] += 1
            return
    truth.outcomes[f"{failure['name']} {failure['work']}"] += 1
    if failure["work"] == "not_run":
        truth.not_run.add(name)


async def _make_faults(deployment: Deployment, fleet_stand_in: FleetStandIn) -> None:
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


def _check(truth: Truth, *, fleet_stand_in: FleetStandIn) -> None:
    sys.stdout.write(f"outcomes: {dict(truth.outcomes)}\n")
    seen: Counter[str] = Counter()
    for endpoint in fleet_stand_in.endpoints.values():
        assert endpoint.peak_in_progress <= endpoint.slots, endpoint.name
        seen += endpoint.request_counts
    assert not truth.wrong
    assert max(count for name, count in seen.items() if name.startswith("once-")) == 1
    assert [name for name in truth.not_run if name.startswith("plain-") and seen[name]] == []
    assert [name for name in truth.answered if not seen[name]] == []
    assert truth.outcomes["ok"] > (PLAIN_REQUESTS + ONCE_KEYS) / 2

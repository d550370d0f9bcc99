"""Slow requests while VMs drain, a wave reboots VMs, an endpoint leaves and a daemon stops."""

from __future__ import annotations

import asyncio
import itertools
import secrets
import sys
import time
from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import aiohttp
import pytest

from hyssopway_standins.endpoint import SECONDS_HEADER
from hyssopway_standins.fleet import load_example_document
from hyssopway_standins.platform import PlatformStandIn, SimulatedVm
from hyssopway_standins.processes import Deployment
from hyssopway_standins.waiting import wait_until

if TYPE_CHECKING:
    from hyssopway_standins.fleet_stand_in import FleetStandIn
    from hyssopway_standins.operator_client import OperatorClient

WAVE_VMS = [f"pickup-vm-{number}" for number in range(1, 9)]
DRAINED = ["restock-vm-1", "matching-vm-2", "dispatch-vm-3", "back-office-vm-4"]
CALLERS = 60
SLOW_S = 2.0
# Longer than the 10 s of the services' own deadline.
LONG_S = 12.0
LONG_TIMEOUT_S = 25.0
LAST_NEW_WORK_S = 5.0
# Its zone has a second entry, so that workers and endpoints there keep a home.
STOPPED = "worcester-1"


@dataclass(slots=True)
class Truth:
    """What callers and VMs saw."""

    outcomes: Counter[str] = field(default_factory=Counter)
    cut: list[str] = field(default_factory=list)


@pytest.fixture
async def platform():
    prepared = PlatformStandIn(vms={vm: SimulatedVm() for vm in WAVE_VMS})
    await prepared.start()
    yield prepared
    await prepared.stop()


@pytest.fixture
async def deployment(tmp_path: Any, platform: PlatformStandIn):
    # Shorter than the long requests, which a stop has to wait for all the same.
    overrides = {"platform_url": platform.url, "shutdown_s": 1.0}
    prepared = Deployment.prepare(name="pantry", folder=tmp_path, overrides=overrides)
    prepared.start()
    try:
        await prepared.wait_ready()
        yield prepared
    finally:
        prepared.stop()


@pytest.mark.faults
async def test_planned_stops_cut_no_request_off(
    deployment: Deployment, platform: PlatformStandIn, fleet_stand_in: FleetStandIn, operator: OperatorClient
):
    """Guards against planned stops that break requests, and new work on an endpoint that left."""
    truth = Truth()

    def check_vm(vm: str) -> None:
        busy = [item.name for item in fleet_stand_in.endpoints.values() if item.vm == vm and item.in_progress]
        truth.cut += [f"{name} busy when {vm} was empty" for name in busy]

    def reboot(vm: str) -> None:
        check_vm(vm)
        worker = fleet_stand_in.workers[vm]
        worker.stop()
        worker.boot_id = secrets.token_hex(4)
        worker.start()

    platform.on_reboot = reboot
    await wait_until(lambda: all_ready(operator, [*WAVE_VMS, *DRAINED]))
    key = await operator.grant_key("granite-hearth")
    stop = asyncio.Event()
    connector = aiohttp.TCPConnector(limit=0, force_close=True)
    async with aiohttp.ClientSession(connector=connector) as session, asyncio.TaskGroup() as group:
        for number in range(CALLERS):
            group.create_task(call(deployment, session, truth, stop, key=key, number=number))
        try:
            await asyncio.sleep(SLOW_S)
            left = fleet_stand_in.endpoints["reports@back-office-vm-5"]
            await left.leave()
            left_at = time.monotonic()
            wave = (await operator.post("/v1/waves", {"pools": ["pickup"]}))["reference"]
            for vm in DRAINED:
                body = {"expected_epoch": await epoch(operator, vm)}
                await operator.post(f"/v1/vms/{vm}/drain", body)
            stopping = asyncio.create_task(asyncio.to_thread(deployment.daemons[STOPPED].stop, timeout_s=40))
            drained = [drain(operator, vm, check_vm) for vm in DRAINED]
            await asyncio.gather(*drained, rebooted(operator, wave, count=2))
            assert await stopping == 0
        finally:
            stop.set()
            shown = await operator.get(f"/v1/waves/{wave}")
            sys.stdout.write(f"wave: {shown}\noutcomes: {dict(truth.outcomes)}\n")
    assert truth.cut == []
    assert {item.name: item.aborted for item in fleet_stand_in.endpoints.values() if item.aborted} == {}
    assert left.received_at - left_at < LAST_NEW_WORK_S
    assert truth.outcomes["long ok"] > CALLERS / 10


async def call(deployment, session, truth, stop, *, key, number) -> None:
    services = [service.name for service in load_example_document("pantry").services]
    daemons = list(deployment.daemons.values())
    for turn in itertools.count(number):
        if stop.is_set():
            return
        long = turn % 10 == 0
        daemon, service = daemons[turn % len(daemons)], services[turn % len(services)]
        name = f"{number}-{turn}"
        headers = {
            "Authorization": f"Bearer {key}",
            "Idempotency-Key": name,
            SECONDS_HEADER: str(LONG_S if long else SLOW_S),
        }
        if long:
            headers["Hyssopway-Timeout"] = str(LONG_TIMEOUT_S)
        try:
            url = f"{daemon.url}/call/{service}/x"
            async with session.post(url, data=name.encode(), headers=headers) as answer:
                if answer.status == 200:
                    assert await answer.read() == name.encode()
                    truth.outcomes["long ok" if long else "ok"] += 1
                    continue
                failure = await answer.json()
                truth.outcomes[f"{failure['name']} {failure['work']}"] += 1
                if failure["work"] != "not_run":
                    truth.cut.append(f"{name} to {service} through {daemon.name}: {failure['message']}")
        except aiohttp.ClientConnectorError:
            truth.outcomes["not connected"] += 1
        except aiohttp.ClientError as error:
            truth.cut.append(f"{name} to {service} through {daemon.name}: {error!r}")
        await asyncio.sleep(0.1)


async def vms(operator: OperatorClient) -> dict[str, Any]:
    return {item["vm"]["name"]: item["vm"] for item in (await operator.get("/v1/vms"))["vms"]}


async def all_ready(operator: OperatorClient, names: list[str]) -> bool:
    found = await vms(operator)
    return all(name in found and found[name]["state"] == "ready" for name in names)


async def epoch(operator: OperatorClient, vm: str) -> int:
    return int((await vms(operator))[vm]["epoch"])


async def drain(operator: OperatorClient, vm: str, check: Any) -> None:
    async def drained() -> bool:
        return (await vms(operator))[vm]["state"] == "drained"

    await wait_until(drained, timeout_s=60.0)
    check(vm)


async def rebooted(operator: OperatorClient, wave: str, *, count: int) -> None:
    async def reached() -> bool:
        return (await operator.get(f"/v1/waves/{wave}"))["progress"].get("done", 0) >= count

    await wait_until(reached, timeout_s=60.0)

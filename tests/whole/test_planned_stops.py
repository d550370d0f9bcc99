"""Slow requests while VMs drain, a wave reboots VMs, an endpoint leaves and a daemon shuts down."""

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
DRAINED_VMS = ["restock-vm-1", "matching-vm-2", "dispatch-vm-3", "back-office-vm-4"]
CALLERS = 60
SLOW_REQUEST_S = 2.0
# Longer than the default deadline of the services, 10 s.
LONG_REQUEST_S = 12.0
LONG_TIMEOUT_S = 25.0
NEW_WORK_LIMIT_S = 5.0
# Its zone has a second entry daemon, so that workers and endpoints there keep a home.
STOPPED_DAEMON = "worcester-1"


@dataclass(slots=True)
class Observations:
    """What callers and VMs observed.

    Attributes:
        outcomes: Number of requests by outcome.
        interrupted: Descriptions of requests that a planned stop interrupted.
    """

    outcomes: Counter[str] = field(default_factory=Counter)
    interrupted: list[str] = field(default_factory=list)


@pytest.fixture
async def platform():
    prepared = PlatformStandIn(vms={vm: SimulatedVm() for vm in WAVE_VMS})
    await prepared.start()
    yield prepared
    await prepared.stop()


@pytest.fixture
async def deployment(tmp_path: Any, platform: PlatformStandIn):
    # A shutdown waits for open requests, even for those that take longer than shutdown_s.
    overrides = {"platform_url": platform.url, "shutdown_s": 1.0}
    prepared = Deployment.prepare(name="pantry", folder=tmp_path, overrides=overrides)
    prepared.start()
    try:
        await prepared.wait_ready()
        yield prepared
    finally:
        prepared.stop()


@pytest.mark.faults
async def test_planned_stops_interrupt_no_request(
    deployment: Deployment, platform: PlatformStandIn, fleet_stand_in: FleetStandIn, operator: OperatorClient
):
    """Guards against planned stops that interrupt requests, and new requests to an endpoint that left."""
    observed = Observations()

    def check_vm(vm: str) -> None:
        busy = [item.name for item in fleet_stand_in.endpoints.values() if item.vm == vm and item.in_progress]
        observed.interrupted += [f"{name} busy when {vm} was empty" for name in busy]

    def reboot(vm: str) -> None:
        check_vm(vm)
        worker = fleet_stand_in.workers[vm]
        worker.stop()
        worker.boot_id = secrets.token_hex(4)
        worker.start()

    platform.on_reboot = reboot
    await wait_until(lambda: all_ready(operator, [*WAVE_VMS, *DRAINED_VMS]))
    key = await operator.grant_key("granite-hearth")
    stop = asyncio.Event()
    connector = aiohttp.TCPConnector(limit=0, force_close=True)
    async with aiohttp.ClientSession(connector=connector) as session, asyncio.TaskGroup() as group:
        for number in range(CALLERS):
            group.create_task(run_caller(deployment, session, observed, stop, key=key, number=number))
        try:
            await asyncio.sleep(SLOW_REQUEST_S)
            departed = fleet_stand_in.endpoints["reports@back-office-vm-5"]
            await departed.leave()
            departed_at = time.monotonic()
            wave = (await operator.post("/v1/waves", {"pools": ["pickup"]}))["reference"]
            for vm in DRAINED_VMS:
                body = {"expected_epoch": await read_epoch(operator, vm)}
                await operator.post(f"/v1/vms/{vm}/drain", body)
            stopping = asyncio.create_task(
                asyncio.to_thread(deployment.daemons[STOPPED_DAEMON].stop, timeout_s=40)
            )
            drain_waits = [wait_until_drained(operator, vm, check_vm) for vm in DRAINED_VMS]
            await asyncio.gather(*drain_waits, wait_until_rebooted(operator, wave, count=2))
            assert await stopping == 0
        finally:
            stop.set()
            wave_status = await operator.get(f"/v1/waves/{wave}")
            sys.stdout.write(f"wave: {wave_status}\noutcomes: {dict(observed.outcomes)}\n")
    assert observed.interrupted == []
    assert {item.name: item.aborted for item in fleet_stand_in.endpoints.values() if item.aborted} == {}
    assert departed.received_at - departed_at < NEW_WORK_LIMIT_S
    assert observed.outcomes["long ok"] > CALLERS / 10


async def run_caller(deployment, session, observed, stop, *, key, number) -> None:
    services = [service.name for service in load_example_document("pantry").services]
    daemons = list(deployment.daemons.values())
    for sequence in itertools.count(number):
        if stop.is_set():
            return
        is_long = sequence % 10 == 0
        daemon, service = daemons[sequence % len(daemons)], services[sequence % len(services)]
        name = f"{number}-{sequence}"
        headers = {
            "Authorization": f"Bearer {key}",
            "Idempotency-Key": name,
            SECONDS_HEADER: str(LONG_REQUEST_S if is_long else SLOW_REQUEST_S),
        }
        if is_long:
            headers["Hyssopway-Timeout"] = str(LONG_TIMEOUT_S)
        try:
            url = f"{daemon.url}/call/{service}/x"
            async with session.post(url, data=name.encode(), headers=headers) as response:
                if response.status == 200:
                    assert await response.read() == name.encode()
                    observed.outcomes["long ok" if is_long else "ok"] += 1
                    continue
                failure = await response.json()
                observed.outcomes[f"{failure['name']} {failure['work']}"] += 1
                if failure["work"] != "not_run":
                    observed.interrupted.append(
                        f"{name} to {service} through {daemon.name}: {failure['message']}"
                    )
        except aiohttp.ClientConnectorError:
            observed.outcomes["not connected"] += 1
        except aiohttp.ClientError as error:
            observed.interrupted.append(f"{name} to {service} through {daemon.name}: {error!r}")
        await asyncio.sleep(0.1)


async def read_vms(operator: OperatorClient) -> dict[str, Any]:
    return {item["vm"]["name"]: item["vm"] for item in (await operator.get("/v1/vms"))["vms"]}


async def all_ready(operator: OperatorClient, names: list[str]) -> bool:
    found = await read_vms(operator)
    return all(name in found and found[name]["state"] == "ready" for name in names)


async def read_epoch(operator: OperatorClient, vm: str) -> int:
    return int((await read_vms(operator))[vm]["epoch"])


async def wait_until_drained(operator: OperatorClient, vm: str, check_vm: Any) -> None:
    async def is_drained() -> bool:
        return (await read_vms(operator))[vm]["state"] == "drained"

    await wait_until(is_drained, timeout_s=60.0)
    check_vm(vm)


async def wait_until_rebooted(operator: OperatorClient, wave: str, *, count: int) -> None:
    async def reached() -> bool:
        return (await operator.get(f"/v1/waves/{wave}"))["progress"].get("done", 0) >= count

    await wait_until(reached, timeout_s=60.0)

"""Measures latency, throughput and burst behaviour of requests against a baseline proxy."""

from __future__ import annotations

import asyncio
import random
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path

import aiohttp

from hyssopway_standins.fleet import EXAMPLES
from hyssopway_standins.operator_client import OperatorClient
from hyssopway_standins.processes import Deployment

from .measurement import Measurement, Series
from .requests_servers import HelperProcess, run_client, serve_endpoints, serve_plain_proxy

ENDPOINTS = 4
SLOTS = 8
BURST_SERVICE_S = 0.1
# A burst of 5 times a mean load of 60 % of the slots.
BURST_FACTOR = 3.0
BURST_TIMEOUT_S = 1.0
CLIENTS = 3
SETTLE_S = 3.5  # covers the exchange of load reports and the slow start of the endpoints


@dataclass(slots=True, kw_only=True)
class BurstResult:
    """Results of a burst at the callers.

    Attributes:
        useful: Number of complete responses within the timeout of the caller, while the burst lasted.
        refusals: Time until each rejection, in seconds.
        late: Number of requests with neither a response nor a rejection in time.
        by_second: Successful responses by second since the start.
    """

    useful: int = 0
    refusals: list[float] = field(default_factory=list)
    late: int = 0
    by_second: dict[int, int] = field(default_factory=dict)


def measure(*, seed: int, quick: bool) -> Measurement:
    """Measures requests to a deployment of daemon processes on loopback."""
    with tempfile.TemporaryDirectory() as folder:
        deployment = Deployment.prepare(name="pantry", folder=Path(folder))
        deployment.start()
        try:
            return asyncio.run(_measure(deployment, rng=random.Random(seed), quick=quick))
        finally:
            deployment.stop()


async def _measure(deployment: Deployment, *, rng: random.Random, quick: bool) -> Measurement:
    await deployment.wait_ready()
    measurement = Measurement(area="requests")
    async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as session:
        operator = OperatorClient(
            session=session, url=deployment.entries("Nashua")[0], token=deployment.operator_token
        )
        await operator.activate_document((EXAMPLES / "pantry" / "document.yaml").read_text())
        key = await operator.grant_key("casco-bay")
        await _measure_path(deployment, session, measurement, key=key, quick=quick)
        await _measure_bursts(deployment, session, measurement, rng=rng, quick=quick)
    return measurement


async def _measure_path(
    deployment: Deployment,
    session: aiohttp.ClientSession,
    measurement: Measurement,
    *,
    key: str,
    quick: bool,
) -> None:
    entry = deployment.entries("Nashua")[0]
    helpers = [
        HelperProcess(serve_endpoints, [_endpoint(deployment, service=service, name=service, service_s=0.0)])
        for service in ("pickup-schedule", "van-dispatch")
    ]
    addresses = [helper.receive()[0] for helper in helpers]
    helpers.append(HelperProcess(serve_plain_proxy, addresses[:1]))
    proxy = helpers[-1].receive()
    await asyncio.sleep(SETTLE_S)
    try:
        count = 200 if quick else 1000
        urls = {
            "direct": f"{addresses[0]}/x",
            "entry": f"{entry}/call/pickup-schedule/x",
            "plain_proxy": f"{proxy}/call/pickup-schedule/x",
            "claimed": f"{entry}/call/van-dispatch/x",
        }
        for name, url in urls.items():
            times = await _time_sequential_requests(session, url, count=count, key=key)
            measurement.figures[f"latency_{name}_p50_ms"] = _percentile(times, 50) * 1000
            measurement.figures[f"latency_{name}_p99_ms"] = _percentile(times, 99) * 1000
        for name in ("direct", "entry", "plain_proxy"):
            rate = await asyncio.to_thread(_measure_rate, urls[name], 2.0 if quick else 5.0)
            measurement.figures[f"rate_{name}_per_s"] = rate
    finally:
        for helper in helpers:
            helper.stop()
    figures = measurement.figures
    figures["added_p50_ms"] = figures["latency_entry_p50_ms"] - figures["latency_direct_p50_ms"]
    figures["claim_cost_p50_ms"] = figures["latency_claimed_p50_ms"] - figures["latency_entry_p50_ms"]
    figures["rate_entry_part_of_direct"] = figures["rate_entry_per_s"] / figures["rate_direct_per_s"]


async def _measure_bursts(
    deployment: Deployment,
    session: aiohttp.ClientSession,
    measurement: Measurement,
    *,
    rng: random.Random,
    quick: bool,
) -> None:
    options = [
        _endpoint(deployment, service="pickup-schedule", name=f"burst-{n}", service_s=BURST_SERVICE_S)
        for n in range(ENDPOINTS)
    ]
    helper = HelperProcess(serve_endpoints, options)
    addresses = helper.receive()
    proxy = HelperProcess(serve_plain_proxy, addresses)
    proxy_url = proxy.receive()
    await asyncio.sleep(SETTLE_S)
    seconds = 3.0 if quick else 6.0
    possible = ENDPOINTS * SLOTS / BURST_SERVICE_S * seconds
    entries = [daemon.url for daemon in deployment.daemons.values()]
    try:
        for name, urls in (("entries", entries), ("plain_proxy", [proxy_url])):
            burst = await _run_burst(
                session, urls, rate=possible / seconds * BURST_FACTOR, seconds=seconds, rng=rng
            )
            measurement.figures[f"burst_{name}_useful_part"] = burst.useful / possible
            measurement.figures[f"burst_{name}_late_part"] = burst.late / (possible * BURST_FACTOR)
            measurement.figures[f"burst_{name}_refusals"] = float(len(burst.refusals))
            if burst.refusals:
                measurement.figures[f"burst_{name}_refusal_p50_ms"] = _percentile(burst.refusals, 50) * 1000
                measurement.figures[f"burst_{name}_refusal_p99_ms"] = _percentile(burst.refusals, 99) * 1000
            points = [(float(second), float(count)) for second, count in sorted(burst.by_second.items())]
            measurement.series.append(
                Series(name=name, x_label="second of the burst", y_label="useful answers", points=points)
            )
    finally:
        proxy.stop()
        helper.stop()


async def _run_burst(
    session: aiohttp.ClientSession, urls: list[str], *, rate: float, seconds: float, rng: random.Random
) -> BurstResult:
    burst = BurstResult()
    started = time.monotonic()
    tasks = []
    due = 0.0
    while due < seconds:
        due += rng.expovariate(rate)
        await asyncio.sleep(max(0.0, started + due - time.monotonic()))
        url = f"{rng.choice(urls)}/call/pickup-schedule/x"
        tasks.append(
            asyncio.create_task(_burst_call(session, url, burst=burst, started=started, seconds=seconds))
        )
    await asyncio.gather(*tasks)
    return burst


async def _burst_call(
    session: aiohttp.ClientSession, url: str, *, burst: BurstResult, started: float, seconds: float
) -> None:
    sent = time.monotonic()
    headers = {"Hyssopway-Timeout": str(BURST_TIMEOUT_S)}
    timeout = aiohttp.ClientTimeout(total=BURST_TIMEOUT_S)
    try:
        async with session.post(url, data=b"x", headers=headers, timeout=timeout) as answer:
            await answer.read()
            took = time.monotonic() - sent
    except (aiohttp.ClientError, TimeoutError):
        burst.late += 1
        return
    if answer.status == 200:
        second = int(time.monotonic() - started)
        burst.useful += second < seconds
        burst.by_second[second] = burst.by_second.get(second, 0) + 1
    else:
        burst.refusals.append(took)


async def _time_sequential_requests(
    session: aiohttp.ClientSession, url: str, *, count: int, key: str
) -> list[float]:
    times = []
    run = time.monotonic_ns()
    for number in range(count):
        headers = {"Authorization": f"Bearer {key}", "Idempotency-Key": f"{run}-{number}"}
        started = time.monotonic()
        async with session.post(url, data=b"x" * 100, headers=headers) as answer:
            text = await answer.text()
        if answer.status != 200:
            raise RuntimeError(f"HTTP {answer.status}: {text}")
        times.append(time.monotonic() - started)
    return times


def _measure_rate(url: str, seconds: float) -> float:
    clients = [HelperProcess(run_client, url, 8, seconds) for _ in range(CLIENTS)]
    try:
        return sum(float(client.receive()) for client in clients)
    finally:
        for client in clients:
            client.stop()


def _endpoint(deployment: Deployment, *, service: str, name: str, service_s: float) -> dict[str, object]:
    return {
        "name": name,
        "service": service,
        "entries": deployment.entries("Nashua"),
        "fleet_token": deployment.fleet_token,
        "slots": SLOTS,
        "service_s": service_s,
    }


def _percentile(values: list[float], percent: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * percent / 100))]


__all__ = ["measure"]

"""Competing operators, suspended leaders and restarts of all processes."""

from __future__ import annotations

import asyncio
import random
import signal
import time
from typing import TYPE_CHECKING

import aiohttp
import pytest

from agreement.linearizability import PENDING, REFUSED, Operation, is_linearizable
from daemon_dumps import find_leader, has_fresh_state, read_dumps, replicas_converged
from hyssopway_standins.waiting import wait_until

if TYPE_CHECKING:
    from hyssopway_standins.fleet_stand_in import FleetStandIn
    from hyssopway_standins.operator_client import OperatorClient
    from hyssopway_standins.processes import Deployment

RACE_DURATION_S = 10.0
RESPONSE_TIMEOUT_S = 1.0
# Longer than the validity of confirmed keys (3 s), worker leases (4 s) and slot credits (2 s).
SUSPENSION_S = 6.0
MISSED_CHANGES = 300


class CompetingOperator:
    """An operator who promotes through one entry VM with the generation read last."""

    def __init__(self, *, deployment: Deployment, name: str, digest: str, seed: int) -> None:
        self.deployment = deployment
        self.name = name
        self.digest = digest
        self.rng = random.Random(f"{name} {seed}")
        self.url = deployment.daemons[name].url
        self.headers = {"Authorization": f"Bearer {deployment.operator_token}"}
        self.generation = 1

    async def compete(self, *, until: float, history: list[Operation]) -> None:
        timeout = aiohttp.ClientTimeout(total=RESPONSE_TIMEOUT_S)
        number = 0
        async with aiohttp.ClientSession(timeout=timeout, headers=self.headers) as session:
            while time.monotonic() < until:
                number += 1
                await self._promote(session, request_id=f"{self.name}-{number}", until=until, history=history)
                await asyncio.sleep(self.rng.uniform(0.0, 0.1))

    async def _promote(
        self, session: aiohttp.ClientSession, *, request_id: str, until: float, history: list[Operation]
    ) -> None:
        start = time.monotonic()
        expected = self.generation
        end, result = PENDING, None
        while end == PENDING and time.monotonic() < until + SUSPENSION_S:
            end, result = await self._try_once(session, request_id=request_id, expected=expected)
        history.append(Operation(start=start, end=end, expected=expected, result=result))
        self.generation = result if result is not None and result > 0 else await self._read(session)

    async def _try_once(
        self, session: aiohttp.ClientSession, *, request_id: str, expected: int
    ) -> tuple[float, int | None]:
        body = {"digest": self.digest, "expected_generation": expected}
        # Each attempt goes through a random entry VM, as behind a load balancer.
        url = self.rng.choice([daemon.url for daemon in self.deployment.daemons.values()])
        headers = {"Idempotency-Key": request_id}
        try:
            async with session.post(f"{url}/v1/documents/production", json=body, headers=headers) as response:
                response_body = await response.json()
        except (aiohttp.ClientError, TimeoutError):
            await asyncio.sleep(0.05)
            return PENDING, None
        if response.status == 200:
            return time.monotonic(), int(response_body["generation"])
        if response_body["name"] == "GENERATION_CONFLICT":
            return time.monotonic(), REFUSED
        return PENDING, None

    async def _read(self, session: aiohttp.ClientSession) -> int:
        try:
            async with session.get(f"{self.url}/v1/documents/production") as response:
                return int((await response.json())["generation"])
        except (aiohttp.ClientError, TimeoutError, KeyError):
            return self.generation


@pytest.mark.faults
@pytest.mark.parametrize("seed", [1, 2])
async def test_racing_promotions_are_linearizable(
    deployment: Deployment, operator: OperatorClient, seed: int
):
    """Guards against a generation assigned twice and a retry that takes effect twice."""
    rng = random.Random(seed)
    digest = (await operator.get("/v1/documents/production"))["digest"]
    history: list[Operation] = []
    until = time.monotonic() + RACE_DURATION_S
    competitors = [
        CompetingOperator(deployment=deployment, name=name, digest=digest, seed=seed)
        for name in ("nashua-1", "worcester-2", "portland-1")
    ]

    async def inject_faults() -> None:
        while time.monotonic() < until - 2:
            leader = deployment.daemons[await find_leader(operator)]
            if rng.random() < 0.5:
                leader.send(signal.SIGSTOP)
                await asyncio.sleep(rng.uniform(1.0, 2.0))
                leader.send(signal.SIGCONT)
            else:
                leader.kill()
                await asyncio.sleep(rng.uniform(0.3, 1.0))
                leader.start()
            await asyncio.sleep(rng.uniform(0.5, 1.0))

    await asyncio.gather(
        inject_faults(), *(competitor.compete(until=until, history=history) for competitor in competitors)
    )
    accepted = sorted(operation.result for operation in history if (operation.result or 0) > 0)
    # The linearizability checker begins at generation 0, but the active document has generation 1.
    shifted = [
        Operation(
            start=operation.start,
            end=operation.end,
            expected=(operation.expected or 1) - 1,
            result=operation.result - 1 if operation.result and operation.result > 0 else operation.result,
        )
        for operation in history
    ]
    assert len(accepted) > 10
    assert any(operation.result == REFUSED for operation in history), "the operators did not compete"
    assert len(set(accepted)) == len(accepted)
    assert is_linearizable(shifted)
    await wait_until(lambda: replicas_converged(deployment, operator))


@pytest.mark.faults
async def test_resumed_leader_does_not_act_on_stale_state(
    deployment: Deployment,
    operator: OperatorClient,
    fleet_stand_in: FleetStandIn,
    session: aiohttp.ClientSession,
):
    """Guards against a leader that was suspended beyond every lease and still trusts its state."""
    key = await operator.grant_key("casco-bay")
    headers = {"Authorization": f"Bearer {key}"}
    leader = deployment.daemons[await find_leader(operator)]
    other = next(daemon for daemon in deployment.daemons.values() if daemon.name != leader.name)
    operator.url = other.url

    async def call(number: int) -> int:
        name = {"Idempotency-Key": f"woken-{number}"}
        async with session.post(
            f"{leader.url}/call/van-dispatch/s", data=b"van", headers=headers | name
        ) as response:
            return response.status

    assert await wait_until(lambda: call(0)) in {200, 503}
    leader.send(signal.SIGSTOP)
    try:
        suspended_at = time.monotonic()
        await operator.delete(f"/v1/keys/{key.split('_')[1]}")
        withdrawal_s = time.monotonic() - suspended_at
        await asyncio.sleep(max(0.0, suspended_at + SUSPENSION_S - time.monotonic()))
        waiting = [asyncio.create_task(call(number)) for number in range(1, 9)]
        await asyncio.sleep(0.1)
    finally:
        leader.send(signal.SIGCONT)
    statuses = [*(await asyncio.gather(*waiting)), *[await call(number) for number in range(9, 30)]]
    assert withdrawal_s < 5.0
    assert set(statuses) <= {403, 503}
    seen = {name for endpoint in fleet_stand_in.endpoints.values() for name in endpoint.request_counts}
    assert not [name for name in seen if name.startswith("woken-") and name != "woken-0"]
    await wait_until(lambda: replicas_converged(deployment, operator))


@pytest.mark.faults
async def test_acknowledged_changes_survive_kill_of_all_processes(
    deployment: Deployment, operator: OperatorClient
):
    """Guards against acknowledged changes that were only in memory, and an older state after a restart."""
    acknowledged: list[str] = []

    async def write(writer: int) -> None:
        for number in range(1000):
            name = f"w{writer}n{number}"
            body = {"key_id": name, "key_hash": "0" * 64, "team": "casco-bay"}
            try:
                await operator.post("/v1/keys", body)
            except (aiohttp.ClientError, RuntimeError):
                return
            acknowledged.append(name)

    writers = [asyncio.create_task(write(writer)) for writer in range(4)]
    while len(acknowledged) < 100:  # noqa: ASYNC110  bounded by the timeout of the client and the writers
        await asyncio.sleep(0.01)
    for daemon in deployment.daemons.values():
        daemon.send(signal.SIGKILL)
    for daemon in deployment.daemons.values():
        daemon.kill()
    await asyncio.gather(*writers)
    deployment.start(initialise=False)
    await wait_for_confirmed_states(deployment, operator, expected_keys=set(acknowledged))


@pytest.mark.faults
@pytest.mark.parametrize("name", ["portland-1", "worcester-2"])
async def test_restarted_daemon_catches_up_on_hundreds_of_changes(
    deployment: Deployment, operator: OperatorClient, name: str
):
    """Guards against a restarted member or follower that reports an older state as confirmed."""
    await operator.grant_key("casco-bay")
    daemon = deployment.daemons[name]
    daemon.kill()
    keys = [await operator.grant_key("casco-bay") for _ in range(MISSED_CHANGES)]
    daemon.start()
    await wait_for_confirmed_states(deployment, operator, expected_keys={key.split("_")[1] for key in keys})


async def wait_for_confirmed_states(
    deployment: Deployment, operator: OperatorClient, *, expected_keys: set[str]
) -> None:
    """Waits until the replicas converge; every confirmed state seen until then must hold the expected keys."""
    seen = dict.fromkeys(deployment.daemons, 0)

    async def check() -> bool:
        try:
            found = await read_dumps(deployment, operator)
        except aiohttp.ClientError:
            return False
        for dump in found:
            if has_fresh_state(dump):
                assert expected_keys <= set(dump["agreed_state"]["keys"]), dump["daemon"]
            index = dump["agreed_state"]["applied_index"]
            assert index >= seen[dump["daemon"]], dump["daemon"]
            seen[dump["daemon"]] = index
        return await replicas_converged(deployment, operator)

    await wait_until(check)

"""Non-idempotent requests run at most once."""

from __future__ import annotations

import asyncio
import random
from collections import Counter

import pytest

from hyssopway.document import Service
from hyssopway.gateway.claims import ClaimManager
from hyssopway.result import ResultCode, WorkState

ONCE = Service(name="once", pool="p", idempotent=False)


async def _claim(manager: ClaimManager, *, environment: str = "production", fingerprint: str = "f"):
    return await manager.claim(
        environment=environment,
        service=ONCE,
        team="t",
        idempotency_key="k",
        fingerprint=fingerprint,
        deadline_s=10.0,
    )


@pytest.fixture
def managers(submitter):
    return [ClaimManager(own_name=name, submitter=submitter) for name in ("one", "two")]


async def test_resends_at_the_same_time_get_one_run(managers):
    """Guards against two runs when a balancer sends a request to two entries at once."""
    results = await asyncio.gather(*(_claim(manager) for manager in managers * 10))
    assert sum(result.is_ok() for result in results) == 1
    assert {result.error.code for result in results if result.is_error()} == {ResultCode.CLAIM_PENDING}


async def test_claim_granted_after_its_outcome_was_lost_is_released(managers, submitter):
    """Guards against a request that was refused "not run" and can then never run."""
    submitter.lose = {"claim_request"}
    refused = await _claim(managers[0])
    assert refused.error.work is WorkState.NOT_RUN
    submitter.lose = set()
    await managers[0].wait_until_stored(timeout_s=1)
    assert (await _claim(managers[1])).is_ok()


async def test_claim_of_a_caller_who_hung_up_is_released(managers, submitter):
    """Guards against a claim that nobody runs because its caller left while it was agreed."""
    submitter.hold = asyncio.Event()
    task = asyncio.create_task(_claim(managers[0]))
    await asyncio.sleep(0.01)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    submitter.hold.set()
    await managers[0].wait_until_stored(timeout_s=1)
    assert (await _claim(managers[1])).is_ok()


@pytest.mark.parametrize(
    ("after_s", "code"), [(1, ResultCode.CLAIM_PENDING), (11, ResultCode.CLAIM_UNKNOWN), (3600, None)]
)
async def test_claim_of_a_killed_daemon_never_runs_again(managers, submitter, after_s, code):
    """Guards against a second run when a daemon is killed between claim and answer."""
    assert (await _claim(managers[0])).is_ok()
    submitter.now_ms += after_s * 1000
    refused = await _claim(managers[1])
    assert refused.error.code is (code or ResultCode.CLAIM_UNKNOWN)
    assert refused.error.work is WorkState.MAY_HAVE_RUN


async def test_pending_claim_outlasts_a_short_storage_time(submitter):
    """Guards against a claim that is forgotten while its request is in progress."""
    manager = ClaimManager(own_name="one", submitter=submitter)
    short = ONCE.__class__(name="once", pool="p", idempotent=False, outcome_kept_s=0.5)
    fields = {"environment": "production", "service": short, "team": "", "idempotency_key": "k"}
    assert (await manager.claim(**fields, fingerprint="f", deadline_s=60)).is_ok()
    submitter.now_ms += 59_000
    assert (await manager.claim(**fields, fingerprint="f", deadline_s=60)).is_error()


async def test_lost_resolve_is_repeated(managers, submitter):
    """Guards against an outcome that stays unknown although the daemon knows it."""
    held = (await _claim(managers[0])).ok
    submitter.lose = {"resolve_claim"}
    await managers[0].resolve(held, status=200, content_type="text/plain", body=b"done")
    assert (await _claim(managers[1])).ok.status == 200


async def test_environments_do_not_share_keys(managers):
    """Guards against a trial request whose key blocks or answers the one in production."""
    assert (await _claim(managers[0])).is_ok()
    assert (await _claim(managers[0], environment="trial", fingerprint="g")).is_ok()


async def test_replica_behind_the_outcome_gives_no_empty_answer(managers, submitter):
    """Guards against an answer with status 0 from a replica that lags."""
    held = (await _claim(managers[0])).ok
    await managers[0].resolve(held, status=200, content_type="", body=b"")
    managers[1].submitter = _Lagging(applied=submitter)
    refused = await _claim(managers[1])
    assert refused.error.code is ResultCode.CLAIM_PENDING


class _Lagging:
    """Submits to one state and reads another, empty one."""

    def __init__(self, *, applied) -> None:
        self.submit = applied.submit
        self.replica = applied.__class__().replica


async def test_not_run_answer_lets_a_resend_run(bench):
    """Guards against a request that is blocked although the endpoint did not run it."""
    first = await bench.add("did not run", service="once")
    assert (await bench.call("once", key="k"))[1]["work"] == "not_run"
    first.way = "whole"
    assert await bench.call("once", key="k", data=b"") == (200, b"")
    assert first.ran["k"] == 1


@pytest.mark.parametrize("way", ["whole", "slowly", "resets after reading", "half", "wrong id", "half large"])
async def test_resends_run_at_most_once(bench, way):
    """Guards against a second van, whatever the endpoint does."""
    endpoint = await bench.add(way, service="once")
    other = await bench.add("whole", service="once")
    calls = (bench.call("once", key=f"k{number % 10}", data=b"x") for number in range(60))
    await asyncio.gather(*calls, return_exceptions=True)
    runs = endpoint.ran + other.ran
    assert len(runs) == 10
    assert max(runs.values()) == 1


async def test_caller_who_hangs_up_leaves_the_outcome_to_its_resend(bench):
    """Guards against an outcome that is lost with the connection of the caller."""
    endpoint = await bench.add("slowly", service="once")
    task = asyncio.create_task(bench.call("once", key="k", data=b"x"))
    await asyncio.sleep(0.1)
    task.cancel()
    await asyncio.sleep(0.3)
    assert await bench.call("once", key="k", data=b"x") == (200, b"x")
    assert endpoint.ran["k"] == 1


@pytest.mark.parametrize("seed", range(4))
async def test_seeded_resends_over_mixed_faults_run_at_most_once(bench, seed):
    """Guards against a second run, and against a false "not run", in random mixes of faults."""
    rng = random.Random(seed)
    ways = ["whole", "did not run", "refuses", "resets after reading", "half", "slowly", "wrong id"]
    endpoints = [await bench.add(way, service="once", slots=2) for way in ways]
    told: dict[str, list[str]] = {}

    async def send(key: str) -> None:
        await asyncio.sleep(rng.random() * 0.3)
        status, body = await bench.call("once", key=key, data=b"x")
        told.setdefault(key, []).append("ran" if status == 200 else body["work"])

    await asyncio.gather(*(send(f"key-{number % 50}") for number in range(200)))
    runs = sum((endpoint.ran for endpoint in endpoints), Counter())
    assert max(runs.values()) == 1
    assert [key for key, works in told.items() if set(works) == {"not_run"} and runs[key]] == []
    assert [key for key, works in told.items() if "ran" in works and not runs[key]] == []

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


async def test_concurrent_retries_get_one_claim(managers):
    """Guards against two runs when a load balancer sends a request to two entries at once."""
    results = await asyncio.gather(*(_claim(manager) for manager in managers * 10))
    assert sum(result.is_ok() for result in results) == 1
    assert {result.error.code for result in results if result.is_error()} == {ResultCode.CLAIM_PENDING}


async def test_claim_with_lost_outcome_is_released(managers, submitter):
    """Guards against a request that was rejected as "not run" and can never run afterwards."""
    submitter.lost_kinds = {"claim_request"}
    refused = await _claim(managers[0])
    assert refused.error.work is WorkState.NOT_RUN
    submitter.lost_kinds = set()
    await managers[0].wait_until_stored(timeout_s=1)
    assert (await _claim(managers[1])).is_ok()


async def test_claim_of_disconnected_caller_is_released(managers, submitter):
    """Guards against a claim that is never run because the caller disconnected while it was submitted."""
    submitter.submit_gate = asyncio.Event()
    task = asyncio.create_task(_claim(managers[0]))
    await asyncio.sleep(0.01)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    submitter.submit_gate.set()
    await managers[0].wait_until_stored(timeout_s=1)
    assert (await _claim(managers[1])).is_ok()


@pytest.mark.parametrize(
    ("after_s", "code"), [(1, ResultCode.CLAIM_PENDING), (11, ResultCode.CLAIM_UNKNOWN), (3600, None)]
)
async def test_claim_of_a_killed_daemon_never_runs_again(managers, submitter, after_s, code):
    """Guards against a second run after a daemon is killed between claim and response."""
    assert (await _claim(managers[0])).is_ok()
    submitter.now_ms += after_s * 1000
    refused = await _claim(managers[1])
    assert refused.error.code is (code or ResultCode.CLAIM_UNKNOWN)
    assert refused.error.work is WorkState.MAY_HAVE_RUN


async def test_pending_claim_outlasts_a_short_storage_time(submitter):
    """Guards against a claim that is deleted while its request is in progress."""
    manager = ClaimManager(own_name="one", submitter=submitter)
    short = ONCE.__class__(name="once", pool="p", idempotent=False, outcome_kept_s=0.5)
    fields = {"environment": "production", "service": short, "team": "", "idempotency_key": "k"}
    assert (await manager.claim(**fields, fingerprint="f", deadline_s=60)).is_ok()
    submitter.now_ms += 59_000
    assert (await manager.claim(**fields, fingerprint="f", deadline_s=60)).is_error()


async def test_lost_resolve_is_retried(managers, submitter):
    """Guards against an outcome that stays unknown because one command was lost."""
    held = (await _claim(managers[0])).ok
    submitter.lost_kinds = {"resolve_claim"}
    await managers[0].resolve(held, status=200, content_type="text/plain", body=b"done")
    assert (await _claim(managers[1])).ok.status == 200


async def test_environments_do_not_share_keys(managers):
    """Guards against a trial request whose idempotency key blocks or answers a request in production."""
    assert (await _claim(managers[0])).is_ok()
    assert (await _claim(managers[0], environment="trial", fingerprint="g")).is_ok()


async def test_lagging_replica_gives_no_empty_response(managers, submitter):
    """Guards against a response with status 0 from a lagging replica."""
    held = (await _claim(managers[0])).ok
    await managers[0].resolve(held, status=200, content_type="", body=b"")
    managers[1].submitter = _LaggingSubmitter(applied=submitter)
    refused = await _claim(managers[1])
    assert refused.error.code is ResultCode.CLAIM_PENDING


class _LaggingSubmitter:
    """Submitter that submits to one state while its replica shows another, empty one."""

    def __init__(self, *, applied) -> None:
        self.submit = applied.submit
        self.replica = applied.__class__().replica


async def test_not_run_response_allows_retry(harness):
    """Guards against a request that stays blocked although the endpoint did not run it."""
    first = await harness.add("did not run", service="once")
    assert (await harness.call("once", key="k"))[1]["work"] == "not_run"
    first.behaviour = "whole"
    assert await harness.call("once", key="k", data=b"") == (200, b"")
    assert first.ran["k"] == 1


@pytest.mark.parametrize(
    "behaviour", ["whole", "slowly", "resets after reading", "half", "wrong id", "half large"]
)
async def test_retries_run_at_most_once(harness, behaviour):
    """Guards against a second run, for any behaviour of the endpoint."""
    endpoint = await harness.add(behaviour, service="once")
    other = await harness.add("whole", service="once")
    calls = (harness.call("once", key=f"k{number % 10}", data=b"x") for number in range(60))
    await asyncio.gather(*calls, return_exceptions=True)
    runs = endpoint.ran + other.ran
    assert len(runs) == 10
    assert max(runs.values()) == 1


async def test_outcome_after_caller_disconnect_is_returned_to_retry(harness):
    """Guards against an outcome that is lost when the caller disconnects."""
    endpoint = await harness.add("slowly", service="once")
    task = asyncio.create_task(harness.call("once", key="k", data=b"x"))
    await asyncio.sleep(0.1)
    task.cancel()
    await asyncio.sleep(0.3)
    assert await harness.call("once", key="k", data=b"x") == (200, b"x")
    assert endpoint.ran["k"] == 1


@pytest.mark.parametrize("seed", range(4))
async def test_retries_under_random_faults_run_at_most_once(harness, seed):
    """Guards against a second run, and against a false "not run", under random mixes of faults."""
    rng = random.Random(seed)
    behaviours = ["whole", "did not run", "refuses", "resets after reading", "half", "slowly", "wrong id"]
    endpoints = [await harness.add(behaviour, service="once", slots=2) for behaviour in behaviours]
    reported: dict[str, list[str]] = {}

    async def send(key: str) -> None:
        await asyncio.sleep(rng.random() * 0.3)
        status, body = await harness.call("once", key=key, data=b"x")
        reported.setdefault(key, []).append("ran" if status == 200 else body["work"])

    await asyncio.gather(*(send(f"key-{number % 50}") for number in range(200)))
    runs = sum((endpoint.ran for endpoint in endpoints), Counter())
    assert max(runs.values()) == 1
    assert [key for key, works in reported.items() if set(works) == {"not_run"} and runs[key]] == []
    assert [key for key, works in reported.items() if "ran" in works and not runs[key]] == []

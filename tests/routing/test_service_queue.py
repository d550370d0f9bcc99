"""Assignment of credits to waiting requests at an entry daemon."""

from __future__ import annotations

import asyncio

import pytest

from hyssopway.result import ResultCode, WorkState


@pytest.fixture
async def entry(make_entry):
    made = make_entry("one")
    made.announce("a", slots=1)
    yield made
    made.router.close()


def _acquire(entry, *, left_s: float = 5.0, **options):
    deadline = entry.router.clock() + left_s
    return entry.router.acquire(environment="production", service="plan", deadline=deadline, **options)


def _queue(entry):
    return entry.router.queues["production", "plan"]


async def test_released_credit_goes_to_next_request_without_a_call(entry, peers):
    """Guards against a call to the home for each request, and against requests served out of order."""
    held = (await _acquire(entry)).ok
    order: list[int] = []

    async def run(number: int) -> None:
        received = (await _acquire(entry)).ok
        assert received is held
        order.append(number)
        entry.router.release(received)

    tasks = [asyncio.create_task(run(number)) for number in range(20)]
    await asyncio.sleep(0.01)
    entry.router.release(held)
    await asyncio.gather(*tasks)
    assert order == list(range(20))
    assert peers.calls == 0


async def test_caller_disconnect_frees_queue_place_and_slot(entry):
    """Guards against a slot leak when a caller disconnects, also while a credit is assigned to its request."""
    held = (await _acquire(entry)).ok
    waiting = asyncio.create_task(_acquire(entry))
    served = asyncio.create_task(_acquire(entry))
    await asyncio.sleep(0)
    waiting.cancel()
    await asyncio.sleep(0)
    assert len(_queue(entry).waiting) == 1
    entry.router.release(held)
    served.cancel()  # its credit was assigned in the same event-loop iteration
    await asyncio.gather(waiting, served, return_exceptions=True)
    assert (await _acquire(entry)).is_ok()


@pytest.mark.parametrize(
    ("service_s", "left_s", "queue_limit", "waiting"),
    [(1.0, 0.5, 100, 0), (0.1, 5.0, 2, 2), (1.0, 3.0, 100, 2), (0.1, 0.0, 100, 0)],
    ids=["too slow", "queue limit", "too many before it", "no time left"],
)
async def test_request_that_cannot_meet_its_deadline_is_refused_at_once(
    entry, service_s, left_s, queue_limit, waiting
):
    """Guards against callers that wait for a rejection that was certain on arrival."""
    await _acquire(entry)
    _queue(entry).throughput.service_s = service_s
    tasks = [asyncio.create_task(_acquire(entry, left_s=60)) for _ in range(waiting)]
    await asyncio.sleep(0)
    refused = await asyncio.wait_for(_acquire(entry, left_s=left_s, queue_limit=queue_limit), timeout=0.05)
    assert refused.error.code is ResultCode.QUEUE_FULL
    assert refused.error.work is WorkState.NOT_RUN
    assert refused.error.retry_after_s > 0
    for task in tasks:
        task.cancel()


async def test_resumed_daemon_does_not_use_expired_credits(entry, clock):
    """Guards against a suspended process that resumes and uses slots since issued to others."""
    held = (await _acquire(entry)).ok
    entry.router.release(held)
    clock.now += 2.0
    entry.registry.remove(name="a", reason="lease ended")
    refused = await _acquire(entry, left_s=0.01)
    assert refused.is_error()


async def test_lease_is_renewed_while_a_request_is_in_progress(entry, clock):
    """Guards against a slot that is issued again during a long request."""
    held = (await _acquire(entry)).ok
    for _ in range(10):
        clock.now += 0.6
        entry.announce("a", slots=1)
        await _queue(entry).refresh_credits()
        entry.ledger.expire()
        assert entry.ledger.issued["a"] == 1
    assert held.expires_at > clock.now


async def test_idle_credits_are_returned(entry, clock):
    """Guards against idle credits that withhold slots from other entries."""
    entry.router.release((await _acquire(entry)).ok)
    for _ in range(3):
        clock.now += 0.4
        entry.announce("a", slots=1)
        await _queue(entry).refresh_credits()
    assert not entry.ledger.grants


async def test_recalled_credit_is_not_reused(entry):
    """Guards against new requests to an endpoint that left while a request was in progress."""
    held = (await _acquire(entry)).ok
    entry.registry.remove(name="a", reason="left")
    entry.router.clock.now += 0.6
    await _queue(entry).refresh_credits()
    entry.router.release(held)
    assert not _queue(entry).idle


@pytest.mark.parametrize(("waiting", "spills"), [(0, False), (40, True)])
async def test_spills_to_other_zones_only_when_the_local_wait_is_longer(
    make_entry, share_summaries, waiting, spills
):
    """Guards against cross-zone calls for short waits, and against a full zone that uses no slots elsewhere."""
    far = make_entry("far")
    far.announce("b")
    entry = make_entry("one", near=False)
    entry.announce("a", slots=1)
    share_summaries(entry)
    first = (await _acquire(entry)).ok
    assert first.credit.endpoint == "a"
    queue = _queue(entry)
    queue.throughput.service_s = 0.001
    tasks = [asyncio.create_task(_acquire(entry)) for _ in range(waiting + 1)]
    await asyncio.sleep(0.005)
    assert bool(far.ledger.grants) is spills
    for task in tasks:
        task.cancel()
    entry.router.close()


async def test_missing_endpoint_is_reported_within_two_polls(make_entry):
    """Guards against callers that wait until their deadline for a service without endpoints."""
    entry = make_entry("one")
    task = asyncio.create_task(_acquire(entry))
    await asyncio.sleep(0)
    entry.router.clock.now += 1.0
    refused = await asyncio.wait_for(task, timeout=1.5)
    assert refused.error.code is ResultCode.NO_ENDPOINT
    entry.router.close()

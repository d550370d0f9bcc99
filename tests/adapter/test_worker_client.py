"""Worker client: orders and polls over HTTP against a fake VM."""

from __future__ import annotations

import asyncio
import contextlib
import json

import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer

from hyssopway.dispatch import OtherBootError, Refusal, WorkerUnreachableError
from hyssopway.workflow import RunOutcome, VmRecord
from hyssopway_platform.worker_client import WorkerClient
from workflow.conftest import make_vm


class FakeVm:
    """Fake VM with a configurable answer; records the requests."""

    def __init__(self):
        self.status = 200
        self.body = {"clock_ms": 5, "born": 1, "running": [], "finished": []}
        self.calls = []
        self.wait_s = 0.0

    async def answer(self, request):
        self.calls.append((request.path, await request.json(), request.headers))
        await asyncio.sleep(self.wait_s)
        raw = self.body if isinstance(self.body, bytes) else json.dumps(self.body).encode()
        return web.Response(status=self.status, body=raw)


@pytest.fixture
def fake_vm():
    return FakeVm()


@pytest.fixture
async def record(fake_vm):
    app = web.Application()
    app.router.add_post("/hyssopway/{call}", fake_vm.answer)
    async with TestServer(app, host="127.0.0.1") as server:
        vm = make_vm("vm-1")
        yield VmRecord(
            vm_id="vm-1",
            boot=1,
            address=f"127.0.0.1:{server.port}",
            pool=vm.pool,
            zone=vm.zone,
            labels=vm.labels,
            capacity=vm.capacity,
        )


@pytest.fixture
async def workers():
    client = WorkerClient()
    client.open()
    yield client
    await client.close()


async def start(workers, record, *, ticket="", is_permitted=True):
    return await workers.start(
        vm=record,
        task="w.0.0.1",
        run=2,
        specification="text",
        checkpoint="half",
        ticket=ticket,
        lease_until_ms=99,
        fencing_token=7,
        may_send=lambda: is_permitted,
        timeout_s=0.5,
    )


async def poll(workers, record, *, is_permitted=True):
    return await workers.poll(
        vm=record,
        fencing_token=7,
        last_end=3,
        lease_until_ms=None,
        wait_ms=0,
        may_send=lambda: is_permitted,
        timeout_s=0.35,
    )


async def test_start_sends_all_fields_once(workers, record, fake_vm):
    """Guards against a start without its lease, its fencing token or its target VM."""
    assert (await start(workers, record)).refusal is None
    ((path, body, headers),) = fake_vm.calls
    assert path == "/hyssopway/run-start"
    assert body == {
        "task": "w.0.0.1",
        "run": 2,
        "specification": "text",
        "deadline_ms": 99,
        "fencing_token": 7,
        "checkpoint": "half",
    }
    assert headers["X-Hyssopway-Expected-Instance"] == "vm-1"


async def test_start_sends_its_ticket(workers, record, fake_vm):
    """Guards against a start without its ticket, which the VM would refuse."""
    assert (await start(workers, record, ticket="t-1")).refusal is None
    assert fake_vm.calls[0][1]["ticket"] == "t-1"


@pytest.mark.parametrize(
    "case",
    [
        (409, {"reason": "fence"}, Refusal.FENCED),
        (409, {"reason": "old"}, Refusal.OLD_RUN),
        (409, {"reason": "late"}, Refusal.LATE),
        (409, {"reason": "room"}, Refusal.NO_ROOM),
        (409, {"reason": "ticket"}, Refusal.NO_TICKET),
        (421, {}, Refusal.OTHER_BOOT),
        (400, {}, Refusal.INVALID),
        (429, {}, Refusal.UNHEALTHY),
        (503, {}, Refusal.UNHEALTHY),
    ],
)
async def test_refusals_are_distinguished(workers, record, fake_vm, case):
    """Guards against treating a refused order as one without an answer."""
    fake_vm.status, fake_vm.body, refusal = case
    assert (await start(workers, record)).refusal is refusal


@pytest.mark.parametrize(
    ("status", "body"), [(500, {}), (409, {"reason": "mood"}), (200, b"{cut"), (302, {})]
)
async def test_invalid_answer_counts_as_none(workers, record, fake_vm, status, body):
    """Guards against deciding the state of a run from an invalid answer."""
    fake_vm.status, fake_vm.body = status, body
    with pytest.raises(WorkerUnreachableError):
        await start(workers, record)


async def test_order_to_unresponsive_vm_times_out(workers, record, fake_vm):
    """Guards against an order that waits forever."""
    fake_vm.wait_s = 5.0
    with pytest.raises(WorkerUnreachableError):
        await start(workers, record)


async def test_list_of_runs_is_decoded(workers, record, fake_vm):
    """Guards against confusing the columns of the lists."""
    fake_vm.body = {
        "clock_ms": 50,
        "born": 9,
        "running": [["w.0.0.1", 2, "half", 41, 800], ["w.0.0.2", 1, "", 7]],
        "finished": [[4, "w.0.0.0", 1, "broken", ""]],
    }
    reply = await poll(workers, record)
    assert (reply.clock_ms, reply.boot, reply.is_complete) == (50, 9, True)
    assert [tuple(row) for row in reply.running] == [
        ("w.0.0.1", 2, "half", 41, 800),
        ("w.0.0.2", 1, "", 7, 0),
    ]
    assert (reply.ends[0].number, reply.ends[0].end.outcome) == (4, RunOutcome.BROKEN)
    ((_, body, _),) = fake_vm.calls
    assert body == {"fencing_token": 7, "last_seen": 3, "wait_ms": 0}


@pytest.mark.parametrize(
    "body",
    [
        {"clock_ms": 5},
        {"clock_ms": "x", "running": [], "finished": []},
        {"clock_ms": 5, "running": [["w"]], "finished": []},
        {"clock_ms": 5, "running": [], "finished": [[1, "w.0.0.0", 1, "vanished", ""]]},
    ],
)
async def test_invalid_list_of_runs_counts_as_no_answer(workers, record, fake_vm, body):
    """Guards against treating runs as lost because the list was invalid."""
    fake_vm.body = body
    with pytest.raises(WorkerUnreachableError):
        await poll(workers, record)


async def test_other_vm_at_the_address_is_detected(workers, record, fake_vm):
    """Guards against orders to another VM that took over the address."""
    fake_vm.status = 421
    with pytest.raises(OtherBootError):
        await poll(workers, record)


@pytest.mark.parametrize(("is_permitted", "sent"), [(True, 1), (False, 0)])
async def test_stop_is_sent_only_with_permission(workers, record, fake_vm, is_permitted, sent):
    """Guards against a leader that is paused after its last check and then stops runs that its successor counts on."""
    stop = workers.stop(
        vm=record, task="w.0.0.1", run=2, fencing_token=7, may_send=lambda: is_permitted, timeout_s=0.5
    )
    with contextlib.nullcontext() if is_permitted else pytest.raises(WorkerUnreachableError):
        await stop
    bodies = [body for _, body, _ in fake_vm.calls]
    assert bodies == sent * [{"task": "w.0.0.1", "run": 2, "fencing_token": 7}]


async def test_start_without_permission_is_not_sent(workers, record, fake_vm):
    """Guards against a leader that is paused while it connects and then starts a run that its successor has moved."""
    with pytest.raises(WorkerUnreachableError) as refused:
        await start(workers, record, is_permitted=False)
    assert (fake_vm.calls, refused.value.is_sent) == ([], False)


async def test_poll_without_permission_is_not_sent(workers, record, fake_vm):
    """Guards against a leader that is paused while it connects and then lets a VM forget ends that nobody has read."""
    with pytest.raises(WorkerUnreachableError) as refused:
        await poll(workers, record, is_permitted=False)
    assert (fake_vm.calls, refused.value.is_sent) == ([], False)


async def test_refused_connection_is_told_from_a_lost_answer(workers, record, fake_vm):
    """Guards against taking an order that a VM without a listener never received for one that may be carried out."""
    start = {
        "task": "w.0.0.0",
        "run": 1,
        "specification": "",
        "checkpoint": "",
        "ticket": "",
        "lease_until_ms": 9,
        "fencing_token": 1,
        "may_send": lambda: True,
        "timeout_s": 0.3,
    }
    fake_vm.wait_s = 1.0
    with pytest.raises(WorkerUnreachableError) as lost:
        await workers.start(vm=record, **start)
    record.address = "127.0.0.1:1"
    with pytest.raises(WorkerUnreachableError) as refused:
        await workers.start(vm=record, **start)
    assert (lost.value.is_sent, refused.value.is_sent) == (True, False)


@pytest.mark.parametrize(("status", "refusal"), [(200, None), (409, Refusal.OLD_RUN)])
async def test_answer_to_an_order_tells_the_clock_of_the_vm(workers, record, fake_vm, status, refusal):
    """Guards against a restart of a VM that shows in the answer to a start and is not noticed."""
    fake_vm.status, fake_vm.body = status, {"clock_ms": 41, "reason": "old"}
    reply = await start(workers, record)
    assert (reply.refusal, reply.clock_ms) == (refusal, 41)


@pytest.mark.parametrize("clock", ["x", None, 2**60])
async def test_answer_with_an_invalid_clock_still_counts(workers, record, fake_vm, clock):
    """Guards against a start that is repeated because another field of its answer cannot be read."""
    fake_vm.body = {"clock_ms": clock}
    reply = await start(workers, record)
    assert (reply.refusal, reply.clock_ms) == (None, None)

"""Orders of a leader whose event loop is busy, to a VM that answers at once."""

from __future__ import annotations

import asyncio
import contextlib
import threading
import time

import pytest

from hyssopway.dispatch import WorkerUnreachableError
from hyssopway.http_client import HttpClient
from hyssopway.http_client.connection import MAX_READ_DELAY_S, HttpConnection
from hyssopway.workflow import Capacity, VmRecord
from hyssopway_platform.worker_client import CONNECT_TIMEOUT_S, MAX_CONNECTIONS_PER_VM, WorkerClient

ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\n{"clock_ms":5}'


class AnsweringVm(threading.Thread):
    """Worker VM with an event loop of its own.

    Attributes:
        delay_s: Time until each answer, in seconds.
        received: Number of requests that it has received.
        port: Port that it listens on; 0 until it is ready.
    """

    def __init__(self):
        super().__init__(daemon=True)
        self.delay_s = 0.0
        self.received = 0
        self.port = 0
        self.is_ready = threading.Event()
        self.is_stopped = threading.Event()

    def run(self):
        asyncio.run(self._listen())

    async def _listen(self):
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]
        self.is_ready.set()
        async with server:
            await asyncio.to_thread(self.is_stopped.wait)

    async def _serve(self, reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError), contextlib.closing(writer):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                await reader.readexactly(int(head.lower().split(b"content-length:")[1].split()[0]))
                self.received += 1
                await asyncio.sleep(self.delay_s)
                writer.write(ANSWER)


@pytest.fixture
def vm():
    started = AnsweringVm()
    started.start()
    assert started.is_ready.wait(5)
    yield started
    started.is_stopped.set()
    started.join(5)


@pytest.fixture
async def workers():
    client = WorkerClient()
    client.open()
    yield client
    await client.close()


async def start(workers, vm, *, number, timeout_s):
    record = VmRecord(
        vm_id="vm-1",
        boot=1,
        address=f"127.0.0.1:{vm.port}",
        pool="vans",
        zone="nashua",
        labels=(),
        capacity=Capacity(),
    )
    return await workers.start(
        vm=record,
        task=f"w.0.0.{number}",
        run=1,
        specification="text",
        checkpoint="",
        ticket="",
        lease_until_ms=99,
        fencing_token=7,
        may_send=lambda: True,
        timeout_s=timeout_s,
    )


async def block_once_received(vm, *, count, seconds):
    """Blocks the event loop of the leader once the VM has received `count` requests."""
    while vm.received < count:  # noqa: ASYNC110  the loop must not read the answer before it is blocked
        await asyncio.sleep(0)
    time.sleep(seconds)  # noqa: ASYNC251


async def test_answer_that_arrives_while_the_leader_is_busy_is_not_lost(workers, vm):
    """Guards against a leader that repeats answered orders because it reads their answers late."""
    await start(workers, vm, number=0, timeout_s=5.0)
    vm.delay_s = 0.02
    order = asyncio.create_task(start(workers, vm, number=1, timeout_s=0.05))
    await block_once_received(vm, count=2, seconds=0.1)
    assert (await order).refusal is None


async def test_connection_that_opens_while_the_leader_is_busy_is_used(workers, vm):
    """Guards against a busy leader that takes VMs for unreachable, since it looks at their connections late."""
    order = asyncio.create_task(start(workers, vm, number=0, timeout_s=5.0))
    await asyncio.sleep(0)
    time.sleep(2 * CONNECT_TIMEOUT_S)  # noqa: ASYNC251
    assert (await order).refusal is None


async def test_answer_from_before_a_pause_is_too_old(workers, vm):
    """Guards against a list of runs from before a pause of the leader that counts as the present one."""
    await start(workers, vm, number=0, timeout_s=5.0)
    vm.delay_s = 0.02
    order = asyncio.create_task(start(workers, vm, number=1, timeout_s=0.05))
    await block_once_received(vm, count=2, seconds=0.1 + MAX_READ_DELAY_S)
    with pytest.raises(WorkerUnreachableError):
        await order


class InMemoryTransport(asyncio.Transport):
    """Transport of a connection to a VM that answers each request after `delay_s`, without a socket."""

    def __init__(self, *, connection, delay_s):
        super().__init__()
        self.connection = connection
        self.delay_s = delay_s

    def write(self, data):
        asyncio.get_running_loop().call_later(self.delay_s, self.connection.data_received, ANSWER)

    def abort(self):
        self.connection.connection_lost(None)


@pytest.mark.virtual_time
async def test_wait_for_a_connection_is_no_wait_for_an_answer(workers, vm, monkeypatch):
    """Guards against orders that count as unanswered before they are sent, while a round starts many tasks on a VM."""
    opened = []

    async def connect(_client, _address, *, timeout_s):
        connection = HttpConnection(loop=asyncio.get_running_loop())
        connection.connection_made(InMemoryTransport(connection=connection, delay_s=0.1))
        opened.append(connection)
        return connection

    monkeypatch.setattr(HttpClient, "_connect", connect)
    count = 5 * MAX_CONNECTIONS_PER_VM
    replies = await asyncio.gather(*(start(workers, vm, number=n, timeout_s=0.3) for n in range(count)))
    assert [reply.refusal for reply in replies] == [None] * count
    assert len(opened) == MAX_CONNECTIONS_PER_VM

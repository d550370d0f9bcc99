"""Orders to machines whose permission expires between the decision and the write."""

from __future__ import annotations

import asyncio

import pytest

from hyssopway.dispatch import MachineCallError, MachineOrderResult
from hyssopway.http_client import HttpClient
from hyssopway_platform.machine_client import MachineClient

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}"


class FakePlatform:
    """Fake platform that records every byte it receives."""

    def __init__(self):
        self.received = b""
        self.server = None

    async def open(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    async def _serve(self, reader, writer):
        while data := await reader.read(4096):
            self.received += data
            if b'"pool"' in self.received or b'"wave"' in self.received:
                writer.write(ANSWER)
        writer.close()


@pytest.fixture
async def platform():
    created = FakePlatform()
    yield created
    created.server.close()


@pytest.fixture
async def client(platform):
    created = MachineClient(address=await platform.open(), holder="node-1")
    created.open()
    yield created
    await created.close()


async def move(client, may_send):
    return await client.order_move(machine_id="m1", pool="vans", fencing_token=3, may_send=may_send)


async def maintain(client, may_send):
    return await client.order_maintenance(machine_id="m1", wave=1, fencing_token=3, may_send=may_send)


@pytest.mark.parametrize("order", [move, maintain])
async def test_order_without_permission_is_not_sent(client, platform, order):
    """Guards against a leader that is paused after its last check and then repeats orders of its successor."""
    with pytest.raises(MachineCallError):
        await order(client, lambda: False)
    await asyncio.sleep(0.05)
    assert platform.received == b""


@pytest.mark.parametrize("order", [move, maintain])
async def test_permitted_order_is_sent_completely(client, platform, order):
    """Guards against a permission check that holds back permitted orders."""
    assert await order(client, lambda: True) is MachineOrderResult.DONE
    head, _, body = platform.received.partition(b"\r\n\r\n")
    assert b"X-Hyssopway-Fencing-Token: 3" in head
    assert b'"machine_id"' in body


async def test_permission_is_checked_after_the_connection_is_open(client, platform, monkeypatch):
    """Guards against a permission that expires while the connection is opened, after the check."""
    is_permitted = [True]
    connect = HttpClient._connect

    async def connect_slowly(*arguments, **options):
        connection = await connect(*arguments, **options)
        is_permitted[0] = False
        return connection

    monkeypatch.setattr(HttpClient, "_connect", connect_slowly)
    with pytest.raises(MachineCallError):
        await move(client, lambda: is_permitted[0])
    await asyncio.sleep(0.05)
    assert platform.received == b""

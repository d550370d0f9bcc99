"""HTTP client of a leader: answers, connections and what was sent."""

from __future__ import annotations

import asyncio
import contextlib

import pytest

from hyssopway.http_client import HttpAnswerReader, HttpClient, InvalidAnswerError, NotSentError
from hyssopway.http_client.client import KEEP_ALIVE_S

REQUEST = b"POST /order HTTP/1.1\r\nHost: vm\r\nContent-Length: 0\r\n\r\n"
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"


def read(raw, *, step):
    reader = HttpAnswerReader()
    for start in range(0, len(raw), step):
        answer = reader.feed(raw[start : start + step])
        if answer is not None:
            return answer.status, answer.body, answer.keeps_open
    return None


@pytest.mark.parametrize("step", [1, 7, 1000])
@pytest.mark.parametrize(
    ("raw", "expected"),
    [
        (ANSWER, (200, b"{}", True)),
        (b"HTTP/1.1 409 Conflict\r\nconnection: close\r\ncontent-length: 1\r\n\r\nx", (409, b"x", False)),
        (b"HTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n", (200, b"", False)),
        (b"HTTP/1.1 100 Continue\r\n\r\n" + ANSWER, (200, b"{}", True)),
        (b"HTTP/1.1 204 No Content\r\n\r\n", (204, b"", True)),
        (
            b"HTTP/1.1 200\r\nTransfer-Encoding: chunked\r\n\r\n3;a=b\r\nabc\r\nA\r\n0123456789\r\n0\r\nT: 1\r\n\r\n",
            (200, b"abc0123456789", True),
        ),
    ],
)
def test_answer_is_read_in_parts_of_any_size(raw, expected, step):
    """Guards against an answer that depends on how it is cut into segments."""
    assert read(raw, step=step) == expected


@pytest.mark.parametrize(
    "raw",
    [
        b"SMTP ready\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n",
        b"HTTP/1.1 200 OK\r\nno colon\r\n\r\n",
        b"HTTP/1.1 200 OK\r\n" + b"a: b\r\n" * 4000,
        b"HTTP/1.1 200 OK\r\n\r\n" + b"x" * (5 * 1024 * 1024),
    ],
)
def test_invalid_answer_is_an_error(raw):
    """Guards against decisions from an answer that cannot be read, and against one that fills the memory."""
    with pytest.raises(InvalidAnswerError):
        read(raw, step=4096)


def test_body_may_end_with_the_connection():
    """Guards against losing an answer of a VM that closes the connection after it."""
    reader = HttpAnswerReader()
    assert reader.feed(b"HTTP/1.1 200 OK\r\n\r\n{}") is None
    assert reader.finish().body == b"{}"


@pytest.mark.parametrize("raw", [b"", b"HTTP/1.1 200 OK\r\n", ANSWER[:-1]])
def test_answer_that_is_cut_short_is_an_error(raw):
    """Guards against taking the first part of an answer for all of it."""
    reader = HttpAnswerReader()
    reader.feed(raw)
    with pytest.raises(InvalidAnswerError):
        reader.finish()


class Server:
    """Answers each request with `answer` after `delay_s`, and counts connections and requests."""

    def __init__(self):
        self.answer = ANSWER
        self.delay_s = 0.0
        self.connections = 0
        self.requests = 0
        self.ends = []

    async def serve(self, reader, writer):
        self.connections += 1
        with contextlib.suppress(asyncio.IncompleteReadError), contextlib.closing(writer):
            try:
                while await reader.readuntil(b"\r\n\r\n"):
                    self.requests += 1
                    await asyncio.sleep(self.delay_s)
                    writer.write(self.answer)
            except ConnectionResetError as error:
                self.ends.append(error)


@pytest.fixture
async def server():
    created = Server()
    listener = await asyncio.start_server(created.serve, "127.0.0.1", 0)
    created.address = f"127.0.0.1:{listener.sockets[0].getsockname()[1]}"
    yield created
    listener.close()


@pytest.fixture
async def client():
    created = HttpClient(connections_per_host=2, connect_timeout_s=0.4)
    yield created
    created.close()
    await asyncio.sleep(0)


async def post(client, server, *, timeout_s=2.0, may_send=None):
    return await client.send(address=server.address, request=REQUEST, timeout_s=timeout_s, may_send=may_send)


async def test_connections_are_reused_and_limited(client, server):
    """Guards against a new connection for each order, and against more connections than a VM accepts."""
    for _ in range(3):
        await asyncio.gather(*(post(client, server) for _ in range(4)))
    assert (server.connections, server.requests) == (2, 12)


async def test_connection_that_the_vm_closed_is_not_reused(client, server):
    """Guards against an order on a connection that has ended."""
    server.answer = b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
    assert [(await post(client, server)).status for _ in range(2)] == [200, 200]
    assert server.connections == 2


async def test_abandoned_request_is_reset(client, server):
    """Guards against an abandoned order that a partition delays and that arrives after those of the next leader."""
    server.delay_s = 0.2
    with pytest.raises(TimeoutError):
        await post(client, server, timeout_s=0.05)
    await asyncio.sleep(0.4)
    assert [type(end) for end in server.ends] == [ConnectionResetError]


async def test_request_without_permission_is_not_written(client, server):
    """Guards against a leader whose permission expires while it waits for a connection."""
    with pytest.raises(NotSentError):
        await post(client, server, may_send=lambda: False)
    assert (await post(client, server, may_send=lambda: True)).status == 200
    assert (server.connections, server.requests) == (1, 1)


@pytest.mark.parametrize(
    "address",
    [
        "127.0.0.1",
        "127.0.0.1:0",
        "127.0.0.1:-1",
        "127.0.0.1:99999",
        "a" * 100_000 + ":80",
        "10.0.0.1:80/x",
        "",
    ],
)
async def test_odd_address_is_not_sent_to(client, address):
    """Guards against an address that ends the task which talks to the VM."""
    with pytest.raises(NotSentError):
        await client.send(address=address, request=REQUEST, timeout_s=0.2)


async def test_connections_to_vms_that_are_gone_are_closed(client, server, monkeypatch):
    """Guards against open connections to each VM that ever was."""
    await post(client, server)
    (host,) = client.hosts.values()
    host.idle[0].idle_since -= KEEP_ALIVE_S + 1
    client.pruned_at = float("-inf")
    with pytest.raises(NotSentError):
        await client.send(address="127.0.0.1:1", request=REQUEST, timeout_s=0.2)
    assert server.address not in client.hosts

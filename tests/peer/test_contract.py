"""Contract between peer client and server over a real connection, including faults."""

from __future__ import annotations

import asyncio
import socket
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, Any

import capnp
import pytest

from hyssopway.agreement.entry import Entry, EntryKind
from hyssopway.agreement.messages import AppendReply, AppendRequest, SnapshotChunk, VoteReply, VoteRequest
from hyssopway.peer import PeerClient, PeerServer, PeerUnreachableError, server

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

VOTE = VoteRequest(term=3, candidate="a/0", target="b/0", last_index=7, last_term=2, pre_vote=True)
APPEND = AppendRequest(
    term=3,
    leader="a/0",
    target="b/0",
    previous_index=6,
    previous_term=2,
    commit_index=5,
    entries=(Entry(term=3, data=b"x"), Entry(term=3, kind=EntryKind.CONFIGURATION, data=b"y" * 600_000)),
)
TOKEN = "right-token"
CHUNK = SnapshotChunk(
    term=3, leader="a/0", index=9, index_term=2, configuration=b"c", offset=4, data=b"d", last=True
)


class FakeHandlers:
    """Records requests; the topic of an exchange makes it fail or wait."""

    def __init__(self) -> None:
        self.requests: list[Any] = []

    async def vote(self, request: VoteRequest) -> VoteReply:
        """Grants the vote."""
        self.requests.append(request)
        return VoteReply(term=4, granted=True)

    async def append(self, request: AppendRequest) -> AppendReply:
        """Accepts the entries."""
        self.requests.append(request)
        return AppendReply(term=4, success=True, match_index=8, member="b/0", supported_version=3)

    async def install_snapshot(self, chunk: SnapshotChunk) -> AppendReply:
        """Refuses the chunk."""
        self.requests.append(chunk)
        return AppendReply(term=4, success=False, match_index=0, member="b/0")

    async def exchange(self, *, topic: str, data: bytes) -> bytes:
        """Fails, waits or echoes, depending on the topic."""
        if topic == "fail":
            raise RuntimeError("handler failed")
        if topic == "slow":
            await asyncio.sleep(0.5)
        return data


@asynccontextmanager
async def connected(*, token: str = TOKEN, listen: bool = True) -> AsyncIterator[tuple[Any, FakeHandlers]]:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port = probe.getsockname()[1]
    handlers: Any = FakeHandlers()
    async with capnp.kj_loop():
        peer_server = PeerServer(handlers=handlers, token=TOKEN)
        if listen:
            await peer_server.open(host="127.0.0.1", port=port)
        client = PeerClient(daemon="b", host="127.0.0.1", port=port, own_name="a", token=token)
        yield client, handlers
        client.close()
        peer_server.close()
        await asyncio.sleep(0.05)


async def test_messages_arrive_unchanged():
    """Guards against a field that the conversion to the wire format drops."""
    async with connected() as (client, handlers):
        vote = await client.vote(request=VOTE, timeout_s=2)
        append = await client.append(request=APPEND, timeout_s=2)
        chunk = await client.install_snapshot(chunk=CHUNK, timeout_s=2)
    assert handlers.requests == [VOTE, APPEND, CHUNK]
    assert vote == VoteReply(term=4, granted=True)
    assert append == AppendReply(term=4, success=True, match_index=8, member="b/0", supported_version=3)
    assert not chunk.success


@pytest.mark.parametrize(
    ("options", "topic", "is_sent"),
    [
        ({"listen": False}, "echo", False),
        ({"token": "wrong"}, "echo", False),
        ({}, "fail", True),
        ({}, "slow", True),
    ],
    ids=["nobody listens", "wrong token", "handler fails", "too slow"],
)
async def test_every_fault_raises_peer_unreachable(options: dict[str, Any], topic: str, is_sent: bool):
    """Guards against another exception, which would end the replication or election task of a member."""
    async with connected(**options) as (client, _):
        with pytest.raises(PeerUnreachableError) as caught:
            await client.exchange(topic=topic, data=b"1", timeout_s=0.2)
        assert caught.value.is_sent is is_sent
        if not options:
            assert await client.exchange(topic="echo", data=b"2", timeout_s=2) == b"2"


async def test_failed_handler_does_not_affect_other_calls():
    """Guards against one failed call that loses the replies to all others on the connection."""
    async with connected() as (client, _):
        slow = asyncio.create_task(client.exchange(topic="slow", data=b"kept", timeout_s=3))
        await asyncio.sleep(0.1)
        with pytest.raises(PeerUnreachableError):
            await client.exchange(topic="fail", data=b"", timeout_s=2)
        assert await slow == b"kept"


async def test_connections_that_do_not_authenticate_shut_out_no_daemon(monkeypatch):
    """Guards against strangers whose unfinished messages take the memory, or the places of other daemons."""
    monkeypatch.setattr(server, "HANDSHAKE_TURN_S", 0.05)
    async with connected() as (client, _):
        strangers = [
            await asyncio.open_connection(client.host, client.port) for _ in range(3 * server.MAX_HANDSHAKES)
        ]
        for _, writer in strangers:
            writer.write(b"\0\0\0\0\0\0\1\0" + b"\0" * 1000)
        assert await client.exchange(topic="echo", data=b"x", timeout_s=5) == b"x"
        for reader, writer in strangers[: server.MAX_HANDSHAKES]:
            assert await reader.read() == b""
            writer.close()
        for _, writer in strangers[server.MAX_HANDSHAKES :]:
            writer.close()

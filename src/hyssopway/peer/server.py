"""Serves calls of other daemons over Cap'n Proto."""

from __future__ import annotations

import asyncio
import hmac
from typing import TYPE_CHECKING, Any

import capnp

from hyssopway.event import Event, log_event
from hyssopway.listening_socket import ACCEPTS_AT_ONCE, listen

from . import conversion
from .schema import SCHEMA

if TYPE_CHECKING:
    import ssl

    from .handlers import PeerHandlers

SNAPSHOT_PART_BYTES = 1024 * 1024
# Connections that are read before they have authenticated; the others wait unread.
MAX_HANDSHAKES = 24
MAX_WAITING = 128
# The kernel holds as much for each connection that waits unread.
RECEIVE_BUFFER_BYTES = 64 * 1024
HANDSHAKE_TIMEOUT_S = 3.0
# Time after which a handshake ends if others wait for its place.
HANDSHAKE_TURN_S = 0.5


class PeerServer:
    """Listens for other daemons; each connection must authenticate first.

    Attributes:
        handlers: Handlers of the calls.
        token: Secret that all daemons share.
        listener: Listening server while open; None before.
        handshakes: Places of connections that have not authenticated.
        waiting: Number of connections that wait for a place.
    """

    __slots__ = ("handlers", "handshakes", "listener", "token", "waiting")

    def __init__(self, *, handlers: PeerHandlers, token: str) -> None:
        self.handlers = handlers
        self.token = token
        self.listener: Any = None
        self.handshakes = asyncio.Semaphore(MAX_HANDSHAKES)
        self.waiting = 0

    async def open(self, *, host: str, port: int, tls: ssl.SSLContext | None = None) -> None:
        """Starts listening."""
        options = {"ssl": tls} if tls else {}
        listening = listen(host, port, receive_buffer_bytes=RECEIVE_BUFFER_BYTES)
        self.listener = await capnp.AsyncIoStream.create_server(
            self._serve, sock=listening, backlog=ACCEPTS_AT_ONCE, **options
        )

    def close(self) -> None:
        """Stops listening."""
        if self.listener is not None:
            self.listener.close()

    async def _serve(self, stream: Any) -> None:
        if self.waiting >= MAX_WAITING:
            log_event(Event.PEER_REFUSED, reason=f"{MAX_WAITING} connections wait to authenticate")
            return
        gate = _Gate(handlers=self.handlers, token=self.token)
        self.waiting += 1
        try:
            await self.handshakes.acquire()
        finally:
            self.waiting -= 1
        disconnected = asyncio.create_task(_wait_for_end(stream, gate=gate))
        try:
            try:
                await self._wait_for_handshake(gate, disconnected=disconnected)
            finally:
                self.handshakes.release()
            if gate.authenticated.is_set() or disconnected.done():
                await disconnected
            else:
                log_event(Event.PEER_REFUSED, reason="the connection did not authenticate in time")
        except capnp.KjException as error:
            log_event(Event.PEER_REFUSED, reason=str(error).splitlines()[0])
        finally:
            disconnected.cancel()
            if gate.daemon:
                self.handlers.handle_connection_lost(gate.daemon)

    async def _wait_for_handshake(self, gate: _Gate, *, disconnected: asyncio.Task[None]) -> None:
        """Returns when a connection has authenticated or ended, or has had its time."""
        ready = asyncio.create_task(_wait_until_set(gate.authenticated))
        try:
            turns = round(HANDSHAKE_TIMEOUT_S / HANDSHAKE_TURN_S)
            for _ in range(turns):
                done, _ = await asyncio.wait(
                    {ready, disconnected}, timeout=HANDSHAKE_TURN_S, return_when=asyncio.FIRST_COMPLETED
                )
                if done or self.waiting:
                    return
        finally:
            ready.cancel()


async def _wait_for_end(stream: Any, *, gate: _Gate) -> None:
    await capnp.TwoPartyServer(stream, bootstrap=gate).on_disconnect()


async def _wait_until_set(event: asyncio.Event) -> None:
    await event.wait()


class _Gate(SCHEMA.Gate.Server):  # type: ignore[misc]
    """First interface of a connection; returns the others after authentication."""

    def __init__(self, *, handlers: PeerHandlers, token: str) -> None:
        super().__init__()
        self.handlers = handlers
        self.token = token
        self.daemon = ""
        self.authenticated = asyncio.Event()

    async def authenticate(self, daemon: str, token: str, **_: Any) -> Any:
        if not hmac.compare_digest(token.encode(), self.token.encode()):
            log_event(Event.PEER_REFUSED, reason=f"wrong token of daemon {daemon}")
            raise PermissionError("wrong peer token")
        self.daemon = str(daemon)
        self.authenticated.set()
        return _PeerInterface(handlers=self.handlers)


class _PeerInterface(SCHEMA.Peer.Server):  # type: ignore[misc]
    """Interface for an authenticated daemon."""

    def __init__(self, *, handlers: PeerHandlers) -> None:
        super().__init__()
        self.handlers = handlers

    async def vote(self, request: Any, **_: Any) -> Any:
        reply = await self.handlers.vote(conversion.vote_request_from_wire(request))
        return conversion.vote_reply_to_wire(reply)

    async def append(self, request: Any, **_: Any) -> Any:
        reply = await self.handlers.append(conversion.append_request_from_wire(request))
        return conversion.append_reply_to_wire(reply)

    async def installSnapshot(self, chunk: Any, **_: Any) -> Any:
        reply = await self.handlers.install_snapshot(conversion.snapshot_chunk_from_wire(chunk))
        return conversion.append_reply_to_wire(reply)

    async def propose(self, command: bytes, **_: Any) -> Any:
        return conversion.propose_reply_to_wire(await self.handlers.propose(bytes(command)))

    async def confirm(self, daemon: str, **_: Any) -> Any:
        return conversion.confirm_reply_to_wire(await self.handlers.confirm(str(daemon)))

    async def watch(self, daemon: str, fromIndex: int, waitMs: int, **_: Any) -> Any:
        reply = await self.handlers.watch(daemon=str(daemon), from_index=fromIndex, wait_s=waitMs / 1000)
        return conversion.watch_reply_to_wire(reply)

    async def readSnapshot(self, offset: int, **_: Any) -> Any:
        part = await self.handlers.read_snapshot(offset=offset)
        return part.data, part.index, part.total

    async def credits(self, request: Any, **_: Any) -> Any:
        reply = await self.handlers.credits(conversion.credit_request_from_wire(request))
        return conversion.credit_reply_to_wire(reply)

    async def heldCredits(self, endpoint: str, daemon: str, **_: Any) -> Any:
        held = await self.handlers.held_credits(daemon=str(daemon), endpoint=str(endpoint))
        return [conversion.credit_to_wire(credit) for credit in held]

    async def exchange(self, topic: str, data: bytes, **_: Any) -> Any:
        return await self.handlers.exchange(topic=str(topic), data=bytes(data))


__all__ = ["SNAPSHOT_PART_BYTES", "PeerServer"]

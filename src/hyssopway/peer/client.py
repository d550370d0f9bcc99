"""Calls other daemons over capnp."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import capnp

from hyssopway.clock import monotonic_s
from hyssopway.event import Event, log_event

from . import conversion
from .errors import PeerUnreachableError
from .replies import SnapshotPart
from .schema import SCHEMA

if TYPE_CHECKING:
    import ssl

    from hyssopway.agreement.messages import (
        AppendReply,
        AppendRequest,
        SnapshotChunk,
        VoteReply,
        VoteRequest,
    )

    from .credits import Credit, CreditReply, CreditRequest
    from .replies import ConfirmReply, ProposeReply, WatchReply

CONNECT_TIMEOUT_S = 1.0


class PeerClient:
    """Connection to one daemon, opened on the first call and again after a failure.

    Every call raises `PeerUnreachableError` when there is no answer in time.

    Attributes:
        daemon: Daemon that is called.
        host: Its IP number.
        port: Its peer port.
        own_name: Name of the daemon that calls.
        token: Secret that daemons share.
        tls: Client context; plain TCP without.
        remote: Authenticated interface while connected.
    """

    __slots__ = (
        "answered_at",
        "client",
        "connecting",
        "daemon",
        "host",
        "own_name",
        "port",
        "remote",
        "tls",
        "token",
    )

    def __init__(
        self,
        *,
        daemon: str,
        host: str,
        port: int,
        own_name: str,
        token: str,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self.daemon = daemon
        self.host = host
        self.port = port
        self.own_name = own_name
        self.token = token
        self.tls = tls
        self.client: Any = None
        self.remote: Any = None
        self.connecting = asyncio.Lock()
        self.answered_at = 0.0

    async def vote(self, *, request: VoteRequest, timeout_s: float) -> VoteReply:
        """Asks for a vote."""
        wire = conversion.vote_request_to_wire(request)
        answer = await self._call(lambda remote: remote.vote(wire), timeout_s=timeout_s)
        return conversion.vote_reply_from_wire(answer.reply)

    async def append(self, *, request: AppendRequest, timeout_s: float) -> AppendReply:
        """Sends entries or a heartbeat."""
        wire = conversion.append_request_to_wire(request)
        answer = await self._call(lambda remote: remote.append(wire), timeout_s=timeout_s)
        return conversion.append_reply_from_wire(answer.reply)

    async def install_snapshot(self, *, chunk: SnapshotChunk, timeout_s: float) -> AppendReply:
        """Sends a part of a snapshot."""
        wire = conversion.snapshot_chunk_to_wire(chunk)
        answer = await self._call(lambda remote: remote.installSnapshot(wire), timeout_s=timeout_s)
        return conversion.append_reply_from_wire(answer.reply)

    async def propose(self, *, command: bytes, timeout_s: float) -> ProposeReply:
        """Proposes a command."""
        answer = await self._call(lambda remote: remote.propose(command), timeout_s=timeout_s)
        return conversion.propose_reply_from_wire(answer.reply)

    async def confirm(self, *, timeout_s: float) -> ConfirmReply:
        """Asks how fresh the leader's knowledge is."""
        answer = await self._call(lambda remote: remote.confirm(self.own_name), timeout_s=timeout_s)
        return conversion.confirm_reply_from_wire(answer.reply)

    async def watch(self, *, from_index: int, wait_s: float, timeout_s: float) -> WatchReply:
        """Asks for entries behind an index."""
        wait_ms = round(wait_s * 1000)
        answer = await self._call(
            lambda remote: remote.watch(self.own_name, from_index, wait_ms), timeout_s=timeout_s
        )
        return conversion.watch_reply_from_wire(answer.reply)

    async def read_snapshot(self, *, offset: int, timeout_s: float) -> SnapshotPart:
        """Asks for a part of the state."""
        answer = await self._call(lambda remote: remote.readSnapshot(offset), timeout_s=timeout_s)
        return SnapshotPart(data=bytes(answer.data), index=answer.index, total=answer.total)

    async def credits(self, *, request: CreditRequest, timeout_s: float) -> CreditReply:
        """Asks for slot credits."""
        wire = conversion.credit_request_to_wire(request)
        answer = await self._call(lambda remote: remote.credits(wire), timeout_s=timeout_s)
        return conversion.credit_reply_from_wire(answer.reply)

    async def held_credits(self, *, endpoint: str, timeout_s: float) -> list[Credit]:
        """Asks which credits the daemon holds for an endpoint."""
        answer = await self._call(
            lambda remote: remote.heldCredits(endpoint, self.own_name), timeout_s=timeout_s
        )
        return [conversion.credit_from_wire(credit) for credit in answer.credits]

    async def exchange(self, *, topic: str, data: bytes, timeout_s: float) -> bytes:
        """Exchanges soft state."""
        answer = await self._call(lambda remote: remote.exchange(topic, data), timeout_s=timeout_s)
        return bytes(answer.data)

    def close(self) -> None:
        """Closes the connection."""
        if self.client is not None:
            self.client.close()
        self.client = self.remote = None

    async def _call(self, call: Any, *, timeout_s: float) -> Any:
        try:
            async with asyncio.timeout(timeout_s):
                remote = await self._connect()
                answer = await call(remote)
                self.answered_at = monotonic_s()
                return answer
        except TimeoutError as error:
            # A silent partition leaves the connection open; a new one finds out whether the peer is back.
            # Other answers in the meantime show that only this call is slow.
            if monotonic_s() - self.answered_at > timeout_s:
                self.close()
            raise PeerUnreachableError(f"{self.daemon} did not answer in {timeout_s:.2f} s") from error
        except (OSError, capnp.KjException) as error:
            reason = str(error).splitlines()[0] if str(error) else type(error).__name__
            if not self._only_this_call_failed(error):
                if self.client is not None:
                    log_event(Event.PEER_LOST, peer=self.daemon, error=reason)
                self.close()
            raise PeerUnreachableError(f"{self.daemon}: {reason}") from error

    def _only_this_call_failed(self, error: Exception) -> bool:
        # A handler that raised says nothing about the connection; closing it would lose the answers of all
        # other calls, entries of a leader among them.
        kinds = capnp.KjException.Type
        return (
            self.remote is not None
            and isinstance(error, capnp.KjException)
            and error.type in (kinds.FAILED, kinds.UNIMPLEMENTED)
        )

    async def _connect(self) -> Any:
        async with self.connecting:
            if self.remote is not None:
                return self.remote
            options = {"ssl": self.tls} if self.tls else {}
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                stream = await capnp.AsyncIoStream.create_connection(self.host, self.port, **options)
            self.client = capnp.TwoPartyClient(stream)
            gate = self.client.bootstrap().cast_as(SCHEMA.Gate)
            self.remote = (await gate.authenticate(self.own_name, self.token)).peer
            log_event(Event.PEER_CONNECTED, peer=self.daemon)
            return self.remote


__all__ = ["PeerClient"]

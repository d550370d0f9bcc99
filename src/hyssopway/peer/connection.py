"""Connection to another daemon's RPC interface, over Cap'n Proto."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import capnp

from hyssopway.clock import monotonic_s
from hyssopway.event import Event, log_event

from .errors import PeerUnreachableError
from .schema import SCHEMA

if TYPE_CHECKING:
    import ssl

CONNECT_TIMEOUT_S = 1.0


class PeerConnection:
    """Connection to one daemon, opened by the first call and reopened after a failure.

    Supports only exchange calls; `PeerClient` adds those of consensus members.

    Every call raises `PeerUnreachableError` when it fails or gets no reply in time.

    Attributes:
        daemon: Name of the daemon that is called.
        host: Its IP address.
        port: Its peer port.
        own_name: Name of the calling daemon.
        token: Secret that all daemons share.
        tls: TLS context of the client; None for plain TCP.
        client: Cap'n Proto client while connected.
        remote: Authenticated interface while connected.
        connecting: Allows one attempt to connect at a time.
        last_reply_at: Local time of the last reply.
    """

    __slots__ = (
        "client",
        "connecting",
        "daemon",
        "host",
        "last_reply_at",
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
        self.last_reply_at = 0.0

    async def exchange(self, *, topic: str, data: bytes, timeout_s: float) -> bytes:
        """Exchanges in-memory state of a topic."""
        response = await self.call(lambda remote: remote.exchange(topic, data), timeout_s=timeout_s)
        return bytes(response.data)

    def close(self) -> None:
        """Closes the connection."""
        if self.client is not None:
            self.client.close()
        self.client = self.remote = None

    async def call(self, call: Any, *, timeout_s: float) -> Any:
        """Connects if necessary and runs a call on the authenticated interface."""
        is_sent = False
        try:
            async with asyncio.timeout(timeout_s):
                remote = await self._connect()
                is_sent = True
                response = await call(remote)
                self.last_reply_at = monotonic_s()
                return response
        except TimeoutError as error:
            # A partition that drops packets leaves the connection open; only a new connection shows whether
            # the peer is reachable again. A reply to another call in the meantime means that only this call
            # is slow.
            if monotonic_s() - self.last_reply_at > timeout_s:
                self.close()
            message = f"{self.daemon} did not reply within {timeout_s:.2f} s"
            raise PeerUnreachableError(message, is_sent=is_sent) from error
        except (OSError, capnp.KjException) as error:
            reason = str(error).splitlines()[0] if str(error) else type(error).__name__
            if not self._is_handler_error(error):
                if self.client is not None:
                    log_event(Event.PEER_LOST, peer=self.daemon, error=reason)
                self.close()
            raise PeerUnreachableError(f"{self.daemon}: {reason}", is_sent=is_sent) from error

    def _is_handler_error(self, error: Exception) -> bool:
        # An exception of a remote handler says nothing about the connection. Closing the connection would
        # lose the replies to all other calls, such as those to a leader's log entries.
        types = capnp.KjException.Type
        return (
            self.remote is not None
            and isinstance(error, capnp.KjException)
            and error.type in (types.FAILED, types.UNIMPLEMENTED)
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


__all__ = ["PeerConnection"]

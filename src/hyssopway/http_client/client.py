"""HTTP client for short requests to hosts that are named by their IP address."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from .connect_socket import connect_socket
from .connection import HttpConnection
from .host_connections import HostConnections
from .not_sent import NotSentError
from .resetting_socket import new_resetting_socket
from .socket_address import parse_socket_address

if TYPE_CHECKING:
    from collections.abc import Callable

    from .answer import HttpAnswer

KEEP_ALIVE_S = 30.0


class HttpClient:
    """Sends requests over connections that stay open between them.

    A leader sends more than a thousand requests a second. The general client spends several times the processor time of
    this one on each.

    Attributes:
        connections_per_host: Largest number of requests in progress to one host.
        connect_timeout_s: Longest time to open a connection, in seconds.
        hosts: Connections by ``HOST:PORT``.
        pruned_at: Time of the event loop at which idle connections were last closed.
    """

    __slots__ = ("connect_timeout_s", "connections_per_host", "hosts", "pruned_at")

    def __init__(self, *, connections_per_host: int, connect_timeout_s: float) -> None:
        self.connections_per_host = connections_per_host
        self.connect_timeout_s = connect_timeout_s
        self.hosts: dict[str, HostConnections] = {}
        self.pruned_at = float("-inf")

    def close(self) -> None:
        """Closes all idle connections."""
        self._prune(unused_since=float("inf"))

    async def send(
        self,
        *,
        address: str,
        request: bytes,
        timeout_s: float,
        slot_timeout_s: float | None = None,
        may_send: Callable[[], bool] | None = None,
    ) -> HttpAnswer:
        """Sends a request and returns its answer.

        Args:
            address: Target as ``HOST:PORT`` with an IP address.
            request: Complete request.
            timeout_s: Time for the answer from when the request is sent, in seconds.
            slot_timeout_s: Time to wait while as many requests to the host as allowed are in progress, in seconds;
                `timeout_s` without one.
            may_send: Checked immediately before the request is written; it is not sent unless this returns True.

        Raises:
            NotSentError: There was no connection in time, or the request may not be sent any more.
            TimeoutError: No answer arrived in time.
            ConnectionError: The connection ended.
            InvalidAnswerError: The answer is not valid HTTP.
        """
        now = asyncio.get_running_loop().time()
        if now - self.pruned_at >= KEEP_ALIVE_S:
            self._prune(unused_since=now - KEEP_ALIVE_S)
            self.pruned_at = now
        host = self.hosts.get(address)
        if host is None:
            host = self.hosts[address] = HostConnections(limit=self.connections_per_host)
        host.in_use += 1
        try:
            await _wait_for_slot(host, timeout_s=timeout_s if slot_timeout_s is None else slot_timeout_s)
            try:
                connection = host.take_idle() or await self._connect(address, timeout_s=timeout_s)
                return await _exchange(
                    connection, host=host, request=request, timeout_s=timeout_s, may_send=may_send
                )
            finally:
                host.slots.release()
        finally:
            host.in_use -= 1

    async def _connect(self, address: str, *, timeout_s: float) -> HttpConnection:
        try:
            target = parse_socket_address(address)
        except ValueError as error:
            raise NotSentError(f"the address is invalid: {error}") from error
        loop = asyncio.get_running_loop()
        new_socket = new_resetting_socket(target[0])
        try:
            await connect_socket(new_socket, target=target, timeout_s=min(self.connect_timeout_s, timeout_s))
            _, connection = await loop.create_connection(lambda: HttpConnection(loop=loop), sock=new_socket)
        except BaseException as error:
            new_socket.close()
            if isinstance(error, OSError):  # includes TimeoutError
                is_refused = isinstance(error, ConnectionRefusedError)
                raise NotSentError(f"no connection: {error!r}", is_refused=is_refused) from error
            raise
        return connection

    def _prune(self, *, unused_since: float) -> None:
        for address, host in list(self.hosts.items()):
            host.close_idle(unused_since=unused_since)
            if not host.idle and not host.in_use:
                del self.hosts[address]


async def _wait_for_slot(host: HostConnections, *, timeout_s: float) -> None:
    if not host.slots.locked():
        await host.slots.acquire()  # does not wait
        return
    try:
        async with asyncio.timeout(timeout_s):
            await host.slots.acquire()
    except TimeoutError as error:
        raise NotSentError(f"all connections were in use for {timeout_s:.2f} s") from error


async def _exchange(
    connection: HttpConnection,
    *,
    host: HostConnections,
    request: bytes,
    timeout_s: float,
    may_send: Callable[[], bool] | None,
) -> HttpAnswer:
    if may_send is not None and not may_send():
        host.idle.append(connection)
        raise NotSentError("permission to send expired before the request was written")
    try:
        answer = await connection.exchange(request, timeout_s=timeout_s)
    except BaseException:
        # A reset discards what is unsent, so that an abandoned request is not delivered late.
        connection.abort()
        raise
    if answer.keeps_open:
        host.idle.append(connection)
    else:
        connection.abort()
    return answer


__all__ = ["HttpClient"]

"""Connects sockets without blocking calls."""

from __future__ import annotations

import asyncio
import errno
import os
import socket


async def connect_socket(connecting: socket.socket, *, target: tuple[str, int], timeout_s: float) -> None:
    """Connects a socket without blocking calls.

    The timeout takes effect only after it was looked whether the socket is connected: while the process was busy for
    longer, the connection has been waiting for it.

    Args:
        connecting: Socket that is not connected.
        target: IP address and port.
        timeout_s: Longest time to wait, in seconds.

    Raises:
        TimeoutError: The socket was not connected in time.
        OSError: The connection was refused, or the target cannot be reached.
    """
    loop = asyncio.get_running_loop()
    code = connecting.connect_ex(target)
    if code == 0:
        return
    if code != errno.EINPROGRESS:
        raise OSError(code, os.strerror(code))
    is_connected: asyncio.Future[None] = loop.create_future()
    loop.add_writer(connecting, _finish, is_connected, connecting)
    timer = loop.call_later(timeout_s, _expire, is_connected)
    try:
        await is_connected
    finally:
        timer.cancel()
        loop.remove_writer(connecting)


def _finish(is_connected: asyncio.Future[None], connecting: socket.socket) -> None:
    if is_connected.done():
        return
    code = connecting.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    if code:
        is_connected.set_exception(OSError(code, os.strerror(code)))
    else:
        is_connected.set_result(None)


def _expire(is_connected: asyncio.Future[None]) -> None:
    if not is_connected.done():
        is_connected.set_exception(TimeoutError())


__all__ = ["connect_socket"]

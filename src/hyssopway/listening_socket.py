"""Opens listening sockets with small receive buffers."""

from __future__ import annotations

import contextlib
import socket

BACKLOG = 1024
# The backlog to give asyncio, which accepts as many connections at once, before the first of them can be refused.
ACCEPTS_AT_ONCE = 16


class ListeningSocket(socket.socket):
    """Listening socket with a long queue in the kernel, whatever backlog asyncio works with."""

    def listen(self, backlog: int = BACKLOG, /) -> None:
        """Starts listening with a queue of at least `BACKLOG`."""
        super().listen(max(backlog, BACKLOG))


def listen(host: str, port: int, *, receive_buffer_bytes: int) -> ListeningSocket:
    """Binds a TCP socket whose connections hold few unread bytes in the kernel.

    Without the limit the kernel holds up to megabytes for each connection that is not read.

    Args:
        host: IP address.
        port: TCP port; 0 for any free one.
        receive_buffer_bytes: Size of the receive buffer that connections inherit.

    Raises:
        OSError: The address is not available.
    """
    listening = ListeningSocket(socket.AF_INET6 if ":" in host else socket.AF_INET)
    try:
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        with contextlib.suppress(OSError):
            listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes)
        listening.setblocking(False)
        listening.bind((host, port))
    except OSError:
        listening.close()
        raise
    return listening


__all__ = ["ACCEPTS_AT_ONCE", "ListeningSocket", "listen"]

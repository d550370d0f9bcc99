"""Sockets whose connections are reset on close."""

from __future__ import annotations

import socket
import struct

# SO_LINGER with a timeout of 0 resets a connection on close and discards its unsent bytes. Otherwise an abandoned
# request that is delayed by a partition could arrive after requests of the next leader.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def new_resetting_socket(host: str) -> socket.socket:
    """Returns a TCP socket without blocking calls, for an IP address, that resets its connection on close."""
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    new_socket = socket.socket(family=family, type=socket.SOCK_STREAM)
    new_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    new_socket.setblocking(False)
    return new_socket


__all__ = ["new_resetting_socket"]

"""Addresses of listening sockets."""

from __future__ import annotations

import ipaddress

# An IPv6 address in brackets, a colon and a port.
MAX_LENGTH = 47
MAX_PORT = 2**16 - 1


def parse_socket_address(address: str) -> tuple[str, int]:
    """Returns the IP address and the port of an address ``HOST:PORT``.

    Raises:
        ValueError: It is not an IP address of a single host and a port from 1 to 65535.
    """
    host, separator, port = address[: MAX_LENGTH + 1].rpartition(":")
    if len(address) > MAX_LENGTH or not separator or not (port.isascii() and port.isdigit()):
        raise ValueError(f"{address[:MAX_LENGTH]!r} is not an IP address and a port")
    is_bracketed = host.startswith("[") and host.endswith("]")
    ip = ipaddress.ip_address(host[1:-1] if is_bracketed else host)
    if is_bracketed != (ip.version == 6) or ip.is_unspecified or ip.is_multicast:
        raise ValueError(f"{address!r} is not the address of a single host")
    if not 0 < int(port) <= MAX_PORT:
        raise ValueError(f"port {port} is not from 1 to {MAX_PORT}")
    return str(ip), int(port)


__all__ = ["parse_socket_address"]

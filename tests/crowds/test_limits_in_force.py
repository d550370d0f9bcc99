"""The limits of the manifest in force, at the programs as processes."""

from __future__ import annotations

import socket
import time

import pytest

from .system import MANIFEST, READY_TIMEOUT_S, send

pytestmark = pytest.mark.crowds


def send_head(address: str, data: bytes) -> int:
    """Sends bytes that end no request; returns the status of the answer."""
    host, _, port = address.rpartition(":")
    with socket.create_connection((host, int(port)), timeout=READY_TIMEOUT_S) as connection:
        connection.sendall(data)
        return int(connection.recv(4096).split()[1])


def test_limits_of_a_new_manifest_hold_in_both_programs(system):
    """Guards against limits that are asked only when the whole request has arrived, or not at all."""
    limits = {"max_header_bytes": 2000, "max_body_bytes": 1000, "header_timeout_ms": 200}
    assert (
        send(system.control.http, "PUT", "/hyssopway/config", MANIFEST | {"version": 2, "limits": limits})
        == 200
    )
    head = b"POST /p/00000000000000aa HTTP/1.1\r\nHost: a.example\r\n"
    deadline = time.monotonic() + READY_TIMEOUT_S
    while send_head(system.entry.http, head + b"X: %s\r\n" % (b"a" * 2000)) != 431:
        assert time.monotonic() < deadline
    assert send_head(system.entry.http, head + b"Content-Length: 1001\r\n\r\n") == 413
    for node in (system.entry, system.control):
        assert send_head(node.http, head + b"X: %s\r\n" % (b"a" * 2000)) == 431
        assert send_head(node.http, head) == 408
    # Operators send more than callers may.
    assert system.put_manifest() == 200


def test_head_within_the_limit_may_have_one_long_field(system):
    """Guards against a legal request that is refused, since a field has a smaller limit than the head (431)."""
    head = b"GET /p/ HTTP/1.1\r\nHost: a.example\r\nX: %s\r\n\r\n" % (b"a" * 15_000)
    for node in (system.entry, system.control):
        assert send_head(node.http, head) != 431

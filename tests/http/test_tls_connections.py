"""Connections over TLS, which cannot be closed in one direction."""

from __future__ import annotations

import asyncio
import logging
import shutil
import ssl
import subprocess

import pytest
from aiohttp import web

from hyssopway.http import HttpListener
from hyssopway_standins.waiting import wait_until

HOST = "127.0.0.1"
OPENSSL = shutil.which("openssl")


async def answer(request: web.Request) -> web.Response:
    return web.Response(text="done")


@pytest.fixture
def contexts(tmp_path):
    """TLS contexts of a listener and of a client that trusts it."""
    if OPENSSL is None:
        pytest.skip("the openssl command is not installed")
    command = "req -x509 -newkey rsa:2048 -nodes -days 2 -subj /CN=own -keyout own.key -out own.pem"
    subprocess.run([OPENSSL, *command.split()], cwd=tmp_path, check=True, capture_output=True)
    own = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    own.load_cert_chain(tmp_path / "own.pem", tmp_path / "own.key")
    trusting = ssl.create_default_context(cafile=str(tmp_path / "own.pem"))
    trusting.check_hostname = False
    return own, trusting


async def test_end_of_a_tls_connection_writes_no_warning(contexts, caplog):
    """Guards against a log line for each connection that its caller closes."""
    own, trusting = contexts
    app = web.Application()
    app.router.add_get("/p", answer)
    listener = HttpListener(app=app, shutdown_s=1)
    await listener.open(host=HOST, port=0, tls=own)
    port = listener.tcp_server.sockets[0].getsockname()[1]
    reader, writer = await asyncio.open_connection(HOST, port, ssl=trusting)
    writer.write(b"GET /p HTTP/1.1\r\nHost: x\r\n\r\n")
    assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 200")

    async def is_empty() -> bool:
        return not listener.connections

    with caplog.at_level(logging.WARNING, logger="asyncio"):
        writer.close()
        await wait_until(is_empty, timeout_s=5)
    assert not caplog.records
    await listener.close()

"""Abandoned requests on HTTP sessions."""

from __future__ import annotations

import asyncio

import aiohttp
import pytest

from hyssopway_platform.connections import new_session


async def test_abandoned_request_is_reset_and_not_delivered():
    """Guards against an abandoned order that a partition delays and that arrives after those of the next leader."""
    ended = asyncio.get_running_loop().create_future()

    async def accept(reader, writer):
        try:
            await reader.readuntil(b"\r\n\r\n")
            ended.set_result(await reader.read())
        except ConnectionResetError as error:
            ended.set_result(error)
        finally:
            writer.close()

    server = await asyncio.start_server(accept, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    session = new_session(connections_per_host=1)
    with pytest.raises(TimeoutError):
        await session.post(
            f"http://127.0.0.1:{port}/order", timeout=aiohttp.ClientTimeout(total=0.1), json={"run": 1}
        )
    assert isinstance(await asyncio.wait_for(ended, 5), ConnectionResetError)
    await session.close()
    server.close()

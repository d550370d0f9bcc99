"""HTTP clients towards endpoints."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import aiohttp

if TYPE_CHECKING:
    from types import SimpleNamespace


def open_session(*, reuse_connections: bool) -> aiohttp.ClientSession:
    """Opens a client that sends every request at most once.

    Args:
        reuse_connections: Without, each request gets its own connection: a kept one may be closed by the
            endpoint while a request is sent, and then nobody knows whether it ran.
    """
    trace = aiohttp.TraceConfig()
    trace.on_request_headers_sent.append(_note_sending)
    session = aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0, force_close=not reuse_connections),
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        trace_configs=[trace],
        skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding", "Content-Type"),
    )
    # aiohttp sends GET, PUT and DELETE a second time when a kept connection breaks and has no public
    # option against it; retries are made in one layer, which knows what is idempotent here.
    session._retry_connection = False  # noqa: SLF001
    return session


async def _note_sending(_: aiohttp.ClientSession, context: SimpleNamespace, __: Any) -> None:
    # The platform client uses the same session and has no call to mark; an error here ended its task, and
    # waves stayed at their first reboot.
    if context.trace_request_ctx is not None:
        context.trace_request_ctx.sending = True


__all__ = ["open_session"]

"""HTTP client sessions for requests to endpoints."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import aiohttp

if TYPE_CHECKING:
    from types import SimpleNamespace


def open_session(*, reuse_connections: bool) -> aiohttp.ClientSession:
    """Opens a client session that sends every request at most once.

    Args:
        reuse_connections: Whether connections are kept alive. Without it, each request gets a new connection:
            an endpoint may close a kept one while a request is being sent, and whether the request ran is
            then unknown.
    """
    trace = aiohttp.TraceConfig()
    trace.on_request_headers_sent.append(_mark_sending)
    session = aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0, force_close=not reuse_connections),
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        trace_configs=[trace],
        skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding", "Content-Type"),
    )
    # aiohttp resends GET, PUT and DELETE when a kept connection breaks and has no public option to disable
    # it. Retries belong to the gateway, which knows which services are idempotent.
    session._retry_connection = False  # noqa: SLF001
    return session


async def _mark_sending(_: aiohttp.ClientSession, context: SimpleNamespace, __: Any) -> None:
    context.trace_request_ctx.sending = True


__all__ = ["open_session"]

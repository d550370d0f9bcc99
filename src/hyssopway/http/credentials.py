"""Bearer tokens of requests."""

from __future__ import annotations

import hmac
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from aiohttp import web

_PREFIX = "Bearer "


def bearer_token(request: web.Request) -> str:
    """Returns the bearer token of a request; empty without one."""
    header = request.headers.get("Authorization", "")
    return header[len(_PREFIX) :].strip() if header.startswith(_PREFIX) else ""


def token_matches(request: web.Request, *, token: str) -> bool:
    """Tells whether the bearer token equals a secret; compares in constant time."""
    return hmac.compare_digest(bearer_token(request).encode(), token.encode())


__all__ = ["bearer_token", "token_matches"]

"""Encodes HTTP/1.1 requests."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Mapping

NO_HEADERS: Mapping[str, str] = {}


def encode_request(
    method: str,
    target: str,
    *,
    host: str,
    headers: Mapping[str, str] = NO_HEADERS,
    body: Mapping[str, Any] | None = None,
) -> bytes:
    """Encodes a request with a JSON body, or without one.

    Args:
        method: HTTP method.
        target: Path and query, percent-encoded.
        host: Value of the Host header.
        headers: Further headers; neither names nor values may hold line breaks.
        body: Value of the body.
    """
    content = json.dumps(body).encode() if body is not None else b""
    lines = [f"{method} {target} HTTP/1.1", f"Host: {host}", f"Content-Length: {len(content)}"]
    if body is not None:
        lines.append("Content-Type: application/json")
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join([*lines, "", ""]).encode() + content


__all__ = ["encode_request"]

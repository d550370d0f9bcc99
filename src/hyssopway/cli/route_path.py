"""Paths of the API routes."""

from __future__ import annotations

from urllib.parse import quote, urlencode


def route_path(*parts: str) -> str:
    """Returns the path of a route; each part is percent-encoded."""
    return "/v1/" + "/".join(quote(part, safe="") for part in parts)


def list_path(*parts: str, **query: str | int) -> str:
    """Returns the path of a list route; query parameters without a value are omitted."""
    given = {name: value for name, value in query.items() if value}
    return route_path(*parts) + (f"?{urlencode(given)}" if given else "")


__all__ = ["list_path", "route_path"]

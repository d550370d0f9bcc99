"""Paths of the server's routes."""

from __future__ import annotations

from urllib.parse import quote, urlencode


def route_path(*parts: str) -> str:
    """Builds the path of a route; names may hold any character."""
    return "/v1/" + "/".join(quote(part, safe="") for part in parts)


def list_path(*parts: str, **query: str | int) -> str:
    """Builds the path of a list; empty values are left out."""
    given = {name: value for name, value in query.items() if value}
    return route_path(*parts) + (f"?{urlencode(given)}" if given else "")


__all__ = ["list_path", "route_path"]

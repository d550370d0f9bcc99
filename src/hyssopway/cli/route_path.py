"""Paths of the server's routes."""

from __future__ import annotations

from urllib.parse import quote


def route_path(*parts: str) -> str:
    """Builds the path of a route; names may hold any character."""
    return "/v1/" + "/".join(quote(part, safe="") for part in parts)


__all__ = ["route_path"]

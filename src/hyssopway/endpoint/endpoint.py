"""An endpoint with its lease."""

from __future__ import annotations

from dataclasses import dataclass

from .announcement import Announcement


@dataclass(slots=True, kw_only=True)
class Endpoint:
    """An announced endpoint.

    Attributes:
        name: Name of the endpoint.
        announcement: What it said last.
        expires_at: Local time at which its lease ends.
        announced_at: Local time of its first announcement here.
    """

    name: str
    announcement: Announcement
    expires_at: float
    announced_at: float


__all__ = ["Endpoint"]

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
        blocked_until: Local time before which no new credits are handed out, because daemons that did
            not answer may still hold some of an earlier home.
    """

    name: str
    announcement: Announcement
    expires_at: float
    announced_at: float
    blocked_until: float = 0.0


__all__ = ["Endpoint"]

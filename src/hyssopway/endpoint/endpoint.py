"""A registered endpoint and its lease."""

from __future__ import annotations

from dataclasses import dataclass

from .announcement import Announcement


@dataclass(slots=True, kw_only=True)
class Endpoint:
    """A registered endpoint.

    Attributes:
        name: Name of the endpoint.
        announcement: Its most recent announcement.
        expires_at: Local time at which its lease expires.
        announced_at: Local time of the first announcement of its present registration.
        blocked_until: Local time before which it gets no new credits, because a daemon that did not reply
            may still hold credits of its previous home.
    """

    name: str
    announcement: Announcement
    expires_at: float
    announced_at: float
    blocked_until: float = 0.0


__all__ = ["Endpoint"]

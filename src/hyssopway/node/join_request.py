"""Request of a member to join the group."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class JoinRequest:
    """The latest request of a member to join.

    Attributes:
        received_at: Local time of the request.
        supported_version: Highest version of the state that the member supports; None if it was not asked.
    """

    received_at: float
    supported_version: int | None


__all__ = ["JoinRequest"]

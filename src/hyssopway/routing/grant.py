"""A credit at its home."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True)
class Grant:
    """A credit that was handed out.

    Attributes:
        endpoint: Endpoint.
        address: Base URL of the endpoint when it was handed out.
        service: Environment and service.
        daemon: Daemon that holds the credit.
        expires_at: Local time at which it surely is no longer used.
        vm: VM of the endpoint; kept here because a departing endpoint leaves the registry first.
    """

    endpoint: str
    address: str
    service: tuple[str, str]
    daemon: str
    expires_at: float
    vm: str = ""


__all__ = ["Grant"]

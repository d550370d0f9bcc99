"""Issuer's record of a slot credit."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True)
class Grant:
    """A credit that a home has issued to a daemon.

    Attributes:
        endpoint: Name of the endpoint.
        address: Base URL of the endpoint at the time of issue.
        service: Environment and name of the service.
        daemon: Daemon that holds the credit.
        expires_at: Local time in seconds after which the holder no longer uses it.
        vm: VM of the endpoint; stored here because a departing endpoint is removed from the registry first.
    """

    endpoint: str
    address: str
    service: tuple[str, str]
    daemon: str
    expires_at: float
    vm: str = ""


__all__ = ["Grant"]

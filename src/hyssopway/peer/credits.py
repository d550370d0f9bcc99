"""Slot credits as they travel between entry daemons."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class Credit:
    """The right to have one request in progress on an endpoint.

    Attributes:
        endpoint: Name of the endpoint.
        address: Base URL of the endpoint.
        service: Service.
        environment: Environment.
        credit_id: Identity of the credit at its home.
        lease_s: Time for which it is valid, counted by the holder from when it sent the request.
        vm: VM of the endpoint; empty when it is none of the pools' VMs.
    """

    endpoint: str
    address: str
    service: str
    environment: str
    credit_id: int
    lease_s: float
    vm: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class CreditRequest:
    """An entry daemon asks the home of endpoints for credits.

    Attributes:
        daemon: Daemon that asks.
        environment: Environment.
        service: Service.
        wanted: Credits wanted in addition.
        renewed: Credits whose lease is to be renewed.
        returned: Credits given back.
        waiting: Requests that wait at the daemon for a slot.
        avoided: Endpoints that the daemon has ejected and wants no credits of.
    """

    daemon: str
    environment: str
    service: str
    wanted: int = 0
    renewed: tuple[int, ...] = ()
    returned: tuple[int, ...] = ()
    waiting: int = 0
    avoided: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class CreditReply:
    """Credits handed out by a home.

    Attributes:
        credits: New credits.
        renewed: Credits whose lease was renewed.
        waiting: Requests that wait at all daemons that lately asked the home.
        recalled: Credits to be given back once the request that uses them has ended.
    """

    credits: tuple[Credit, ...] = ()
    renewed: tuple[int, ...] = ()
    waiting: int = 0
    recalled: tuple[int, ...] = ()


__all__ = ["Credit", "CreditReply", "CreditRequest"]

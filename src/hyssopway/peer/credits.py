"""Messages about slot credits between entry daemons."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class Credit:
    """Permission to have one request in progress on an endpoint.

    Attributes:
        endpoint: Name of the endpoint.
        address: Base URL of the endpoint.
        service: Service that the endpoint serves.
        environment: Environment of the service.
        credit_id: ID of the credit at the endpoint's home.
        lease_s: Seconds for which it is valid, counted by the holder from when it sent its request.
        vm: VM of the endpoint; empty when the endpoint runs outside the pools.
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
    """Request of an entry daemon for credits of the endpoints of a home.

    Attributes:
        daemon: Name of the requesting daemon.
        environment: Environment of the service.
        service: Service to call.
        wanted: Number of additional credits wanted.
        renewed: IDs of the credits whose lease is to be renewed.
        returned: IDs of the credits that are returned.
        waiting: Number of requests that wait at the daemon for a slot.
        avoided: Endpoints of which the daemon wants no credits, such as ejected ones.
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
    """Credits granted by a home.

    Attributes:
        credits: New credits.
        renewed: IDs of the credits whose lease was renewed.
        waiting: Number of requests that wait at all daemons that recently asked this home.
        recalled: IDs of the credits to return as soon as the request that uses them has ended.
    """

    credits: tuple[Credit, ...] = ()
    renewed: tuple[int, ...] = ()
    waiting: int = 0
    recalled: tuple[int, ...] = ()


__all__ = ["Credit", "CreditReply", "CreditRequest"]

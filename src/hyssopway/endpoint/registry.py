"""Registry of the endpoints whose home is this daemon."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hyssopway.event import Event, log_event

from .endpoint import Endpoint

if TYPE_CHECKING:
    from collections.abc import Callable

    from hyssopway.clock import Clock

    from .announcement import Announcement

ENDPOINT_LEASE_S = 2.0


class EndpointRegistry:
    """Endpoints whose home is this daemon.

    Attributes:
        clock: Returns monotonic seconds.
        endpoints: Endpoints by name.
        may_serve: Tells whether the VM of that name may serve new requests.
        on_new_endpoint: Called with each endpoint that registers here anew.
    """

    __slots__ = ("clock", "endpoints", "may_serve", "on_new_endpoint")

    def __init__(self, *, clock: Clock, may_serve: Callable[[str], bool] = lambda _: True) -> None:
        self.clock = clock
        self.may_serve = may_serve
        self.on_new_endpoint: Callable[[Endpoint], None] = lambda _: None
        self.endpoints: dict[str, Endpoint] = {}

    def announce(self, *, name: str, announcement: Announcement) -> Endpoint:
        """Registers an endpoint or renews its lease."""
        now = self.clock()
        endpoint = self.endpoints.get(name)
        is_new = endpoint is None or endpoint.expires_at <= now
        if endpoint is None:
            endpoint = Endpoint(name=name, announcement=announcement, expires_at=now, announced_at=now)
            self.endpoints[name] = endpoint
            log_event(Event.ENDPOINT_ANNOUNCED, endpoint=name, service=announcement.service)
        endpoint.announcement = announcement
        endpoint.expires_at = now + ENDPOINT_LEASE_S
        if is_new:
            endpoint.announced_at = now
            self.on_new_endpoint(endpoint)
        return endpoint

    def remove(self, *, name: str, reason: str) -> None:
        """Removes an endpoint, which gets no new requests from then on."""
        if self.endpoints.pop(name, None) is not None:
            log_event(Event.ENDPOINT_LEFT, endpoint=name, reason=reason)

    def remove_expired(self) -> None:
        """Removes endpoints whose lease has expired."""
        now = self.clock()
        for endpoint in list(self.endpoints.values()):
            if endpoint.expires_at <= now:
                self.remove(name=endpoint.name, reason="lease ended")

    def available_endpoints(self, *, environment: str, service: str) -> list[Endpoint]:
        """Returns the endpoints of a service that may serve new requests."""
        now = self.clock()
        return [
            endpoint
            for endpoint in self.endpoints.values()
            if endpoint.announcement.service == service
            and endpoint.announcement.environment == environment
            and endpoint.expires_at > now
            and self.may_serve(endpoint.announcement.vm)
        ]


__all__ = ["ENDPOINT_LEASE_S", "EndpointRegistry"]

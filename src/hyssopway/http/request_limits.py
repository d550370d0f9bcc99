"""Limits on the requests of one process."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True)
class RequestLimits:
    """Limits that the listeners of a process share; fields change when another document is in force.

    Attributes:
        max_head_bytes: Largest request head, with the empty lines before it.
        max_field_bytes: Largest line of a head, and the largest field.
        max_body_bytes: Largest request body.
        head_timeout_s: Time from the first byte of a head to its end.
        idle_timeout_s: Time for which a connection may wait for its next request.
        body_timeout_s: Time from the end of a head to the end of its body.
        response_timeout_s: Time in which a client has to take a response.
        is_confirmed: Whether `max_body_bytes` is in force; if not, a larger body may be sent again later.
        streams_bodies: Whether handlers read bodies while they arrive, and limit their time themselves.
    """

    max_head_bytes: int = 16_384
    max_field_bytes: int = 8_190
    max_body_bytes: int = 262_144
    head_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0
    body_timeout_s: float = 30.0
    response_timeout_s: float = 30.0
    is_confirmed: bool = True
    streams_bodies: bool = False

    @staticmethod
    def for_streams(*, max_head_bytes: int = 65_536, max_body_bytes: int = 16 * 1024 * 1024) -> RequestLimits:
        """Returns the limits of a listener whose handlers read bodies while they arrive."""
        return RequestLimits(
            max_head_bytes=max_head_bytes,
            max_body_bytes=max_body_bytes,
            head_timeout_s=10.0,
            idle_timeout_s=75.0,
            streams_bodies=True,
        )


__all__ = ["RequestLimits"]

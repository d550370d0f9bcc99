"""Names and filters of HTTP headers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from multidict import CIMultiDict

if TYPE_CHECKING:
    from collections.abc import Mapping

ENVIRONMENT_HEADER = "Hyssopway-Environment"
TIMEOUT_HEADER = "Hyssopway-Timeout"
IDEMPOTENCY_HEADER = "Idempotency-Key"
REQUEST_ID_HEADER = "Hyssopway-Request-Id"
REMAINING_HEADER = "Hyssopway-Remaining"
NOT_RUN_HEADER = "Hyssopway-Not-Run"
HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
# The key in `Authorization` is for hyssopway only; aiohttp has already decoded the body and answered `Expect`.
_DROPPED_FROM_REQUESTS = HOP_BY_HOP_HEADERS | {
    "authorization",
    "content-encoding",
    "expect",
    "host",
    REQUEST_ID_HEADER.lower(),
    REMAINING_HEADER.lower(),
}
_DROPPED_FROM_RESPONSES = HOP_BY_HOP_HEADERS | {REQUEST_ID_HEADER.lower(), NOT_RUN_HEADER.lower()}


def request_headers(headers: Mapping[str, str], *, request_id: str, remaining_s: float) -> CIMultiDict[str]:
    """Returns the headers for an endpoint, with the request ID and the remaining time in seconds."""
    kept = _filter_headers(headers, dropped=_DROPPED_FROM_REQUESTS)
    kept[REQUEST_ID_HEADER] = request_id
    kept[REMAINING_HEADER] = f"{max(0.0, remaining_s):.3f}"
    return kept


def response_headers(headers: Mapping[str, str]) -> CIMultiDict[str]:
    """Returns the headers for a caller."""
    return _filter_headers(headers, dropped=_DROPPED_FROM_RESPONSES)


def _filter_headers(headers: Mapping[str, str], *, dropped: frozenset[str]) -> CIMultiDict[str]:
    connection_value = headers.get("Connection", "").lower()
    connection_headers = (
        {name.strip() for name in connection_value.split(",")} if connection_value else frozenset()
    )
    return CIMultiDict(
        (name, value)
        for name, value in headers.items()
        if (lower := name.lower()) not in dropped and lower not in connection_headers
    )


__all__ = [
    "ENVIRONMENT_HEADER",
    "IDEMPOTENCY_HEADER",
    "NOT_RUN_HEADER",
    "REMAINING_HEADER",
    "REQUEST_ID_HEADER",
    "TIMEOUT_HEADER",
    "request_headers",
    "response_headers",
]

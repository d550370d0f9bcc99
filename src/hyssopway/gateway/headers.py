"""Headers that are passed on and headers of this system."""

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
HOP_HEADERS = frozenset(
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
# The key is for this system only; aiohttp has decoded the body and answered `Expect` already.
_DROPPED_FROM_REQUESTS = HOP_HEADERS | {
    "authorization",
    "content-encoding",
    "expect",
    "host",
    REQUEST_ID_HEADER.lower(),
    REMAINING_HEADER.lower(),
}
_DROPPED_FROM_ANSWERS = HOP_HEADERS | {REQUEST_ID_HEADER.lower(), NOT_RUN_HEADER.lower()}


def request_headers(headers: Mapping[str, str], *, request_id: str, remaining_s: float) -> CIMultiDict[str]:
    """Returns the headers that an endpoint gets."""
    kept = _without(headers, dropped=_DROPPED_FROM_REQUESTS)
    kept[REQUEST_ID_HEADER] = request_id
    kept[REMAINING_HEADER] = f"{max(0.0, remaining_s):.3f}"
    return kept


def answer_headers(headers: Mapping[str, str]) -> CIMultiDict[str]:
    """Returns the headers that a caller gets."""
    return _without(headers, dropped=_DROPPED_FROM_ANSWERS)


def _without(headers: Mapping[str, str], *, dropped: frozenset[str]) -> CIMultiDict[str]:
    named = headers.get("Connection", "").lower()
    extra = {name.strip() for name in named.split(",")} if named else frozenset()
    return CIMultiDict(
        (name, value)
        for name, value in headers.items()
        if (lower := name.lower()) not in dropped and lower not in extra
    )


__all__ = [
    "ENVIRONMENT_HEADER",
    "IDEMPOTENCY_HEADER",
    "NOT_RUN_HEADER",
    "REMAINING_HEADER",
    "REQUEST_ID_HEADER",
    "TIMEOUT_HEADER",
    "answer_headers",
    "request_headers",
]

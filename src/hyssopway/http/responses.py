"""JSON responses."""

from __future__ import annotations

import json
import math
from typing import Any

from aiohttp import web

from hyssopway.result import Failure, http_status


def json_response(data: Any, *, status: int = 200) -> web.Response:
    """Returns a JSON response; data classes and enums are converted, infinities become null."""
    # Listeners of the platform use this module for failures only; pydantic costs them start-up time and memory.
    from pydantic_core import to_json  # noqa: PLC0415

    return web.Response(
        body=to_json(data, inf_nan_mode="null"), status=status, content_type="application/json"
    )


def failure_response(failure: Failure) -> web.Response:
    """Returns a JSON response with the numbered code of a failure."""
    return web.Response(
        body=encode_failure(failure),
        status=http_status(failure.code),
        content_type="application/json",
        headers=retry_after_headers(failure),
    )


def retry_after_headers(failure: Failure) -> dict[str, str]:
    """Returns the header that tells when to come back, if the failure says so."""
    if failure.retry_after_s is None:
        return {}
    return {"Retry-After": str(max(1, math.ceil(failure.retry_after_s)))}


def encode_failure(failure: Failure) -> bytes:
    """Encodes a failure as the JSON body of a response."""
    body = {
        "code": int(failure.code),
        "name": failure.code.name,
        "message": failure.message,
        "work": failure.work,
        "retry_after_s": failure.retry_after_s,
    }
    return json.dumps(body, separators=(",", ":"), ensure_ascii=False).encode()


__all__ = ["encode_failure", "failure_response", "json_response", "retry_after_headers"]

"""HTTP listener, middleware and helpers that all HTTP interfaces share; imported on first use."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hyssopway.lazy_exports import lazy_exports

if TYPE_CHECKING:
    from .credentials import bearer_token, token_matches
    from .listener import HttpListener
    from .middleware import error_middleware
    from .request_body import read_json
    from .responses import failure_response, json_response
    from .waiting_caller import WaitingCaller
else:
    __getattr__ = lazy_exports(
        __name__,
        {
            "HttpListener": "listener",
            "WaitingCaller": "waiting_caller",
            "bearer_token": "credentials",
            "error_middleware": "middleware",
            "failure_response": "responses",
            "json_response": "responses",
            "read_json": "request_body",
            "token_matches": "credentials",
        },
    )

__all__ = [
    "HttpListener",
    "WaitingCaller",
    "bearer_token",
    "error_middleware",
    "failure_response",
    "json_response",
    "read_json",
    "token_matches",
]

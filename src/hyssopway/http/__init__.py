"""HTTP listener, middleware and helpers that all HTTP interfaces share."""

from __future__ import annotations

from .credentials import bearer_token, token_matches
from .listener import HttpListener
from .middleware import error_middleware
from .request_body import read_json
from .responses import failure_response, json_response

__all__ = [
    "HttpListener",
    "bearer_token",
    "error_middleware",
    "failure_response",
    "json_response",
    "read_json",
    "token_matches",
]

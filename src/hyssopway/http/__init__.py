"""Helpers shared by all HTTP interfaces."""

from __future__ import annotations

from .answers import failure_response, json_response
from .bodies import read_json
from .credentials import bearer_token, token_matches
from .detaching import finish_handlers, number_errors
from .server import Runner

__all__ = [
    "Runner",
    "bearer_token",
    "failure_response",
    "finish_handlers",
    "json_response",
    "number_errors",
    "read_json",
    "token_matches",
]

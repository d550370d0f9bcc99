"""Helpers shared by all HTTP interfaces."""

from __future__ import annotations

from .answers import failure_response, json_response
from .bodies import read_json
from .credentials import bearer_token, token_matches
from .guarding import guard_handlers
from .server import Runner

__all__ = [
    "Runner",
    "bearer_token",
    "failure_response",
    "guard_handlers",
    "json_response",
    "read_json",
    "token_matches",
]

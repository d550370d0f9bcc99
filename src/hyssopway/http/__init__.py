"""Helpers shared by all HTTP interfaces."""

from __future__ import annotations

from .answers import failure_response, json_response
from .bodies import read_json
from .credentials import bearer_token, token_matches
from .detaching import finish_handlers

__all__ = [
    "bearer_token",
    "failure_response",
    "finish_handlers",
    "json_response",
    "read_json",
    "token_matches",
]

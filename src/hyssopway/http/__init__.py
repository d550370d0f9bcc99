"""Helpers shared by all HTTP interfaces."""

from __future__ import annotations

from .answers import failure_response, json_response
from .bodies import read_json
from .credentials import bearer_token, token_matches
from .error_answers import answer_errors
from .listener import HttpListener

__all__ = [
    "HttpListener",
    "answer_errors",
    "bearer_token",
    "failure_response",
    "json_response",
    "read_json",
    "token_matches",
]

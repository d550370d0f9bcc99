"""HTTP client for short requests to hosts that are named by their IP address."""

from __future__ import annotations

from .answer import HttpAnswer
from .answer_reader import HttpAnswerReader, InvalidAnswerError
from .client import HttpClient
from .host_connections import HostConnections
from .not_sent import NotSentError
from .request import encode_request
from .socket_address import parse_socket_address

__all__ = [
    "HostConnections",
    "HttpAnswer",
    "HttpAnswerReader",
    "HttpClient",
    "InvalidAnswerError",
    "NotSentError",
    "encode_request",
    "parse_socket_address",
]

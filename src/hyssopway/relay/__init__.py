"""Finds the leader and forwards requests to it."""

from __future__ import annotations

from .confirm_token import is_valid_confirm_token, issue_confirm_token
from .document_limits import DocumentLimits
from .leader_finder import LeaderFinder
from .node_directory import PEER_TOKEN, NodeDirectory
from .relay import Relay, UnansweredError
from .relayed_reply import RelayedReply
from .relayed_request import RelayedRequest
from .supervise import supervise
from .topics import JOIN, LEADER, RELAY, STOPPING, SUPPORTED_VERSION

__all__ = [
    "JOIN",
    "LEADER",
    "PEER_TOKEN",
    "RELAY",
    "STOPPING",
    "SUPPORTED_VERSION",
    "DocumentLimits",
    "LeaderFinder",
    "NodeDirectory",
    "Relay",
    "RelayedReply",
    "RelayedRequest",
    "UnansweredError",
    "is_valid_confirm_token",
    "issue_confirm_token",
    "supervise",
]

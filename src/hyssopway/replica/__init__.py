"""Replicated state on a daemon: the replica, its freshness and the submission of commands."""

from __future__ import annotations

from .following import follow_leader, follow_upstream
from .freshness import AUTHORITY_TTL_S, Freshness
from .proposer import Proposer
from .replica import Replica
from .submitter import Submitter

__all__ = [
    "AUTHORITY_TTL_S",
    "Freshness",
    "Proposer",
    "Replica",
    "Submitter",
    "follow_leader",
    "follow_upstream",
]

"""Tokens that show a leader that a relayed request is recent.

A request can be held up for seconds between two nodes, or in a node that is paused. The caller has sent it again by then,
and may have sent another request that contradicts it. The leader therefore answers a request whose order counts with a
token. The relaying node returns it if its caller still waits, and the leader accepts it for a short time by its own clock.
"""

from __future__ import annotations

MAX_TOKEN_AGE_S = 0.3


def issue_confirm_token(*, term: int, now: float) -> str:
    """Returns a token of the leader of a term.

    Args:
        term: Term of the leader.
        now: Local time of the leader in seconds.
    """
    return f"{term}/{round(now * 1000)}"


def is_valid_confirm_token(token: str, *, term: int, now: float) -> bool:
    """Returns whether a token was issued by the leader of a term, a short time ago."""
    issued_in, _, issued_ms = token.partition("/")
    if issued_in != str(term) or not issued_ms.isdecimal():
        return False
    return 0 <= round(now * 1000) - int(issued_ms) <= MAX_TOKEN_AGE_S * 1000


__all__ = ["is_valid_confirm_token", "issue_confirm_token"]

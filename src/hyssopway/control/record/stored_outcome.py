"""Outcome of an operator's command, stored for retries."""

from __future__ import annotations

from dataclasses import dataclass

from hyssopway.result import Outcome


@dataclass(slots=True, kw_only=True)
class StoredOutcome:
    """First outcome for a request ID.

    Attributes:
        fingerprint: Hash of the command without its request ID.
        outcome: Outcome of the first attempt.
    """

    fingerprint: str
    outcome: Outcome


__all__ = ["StoredOutcome"]

"""Outcome of an operator's change, kept for resends."""

from __future__ import annotations

from dataclasses import dataclass

from hyssopway.control.outcome import Outcome


@dataclass(slots=True, kw_only=True)
class StoredOutcome:
    """First outcome of a request id.

    Attributes:
        fingerprint: Hash of the command.
        outcome: What the first try was answered.
    """

    fingerprint: str
    outcome: Outcome


__all__ = ["StoredOutcome"]

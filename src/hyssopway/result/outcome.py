"""Outcome of a proposed command."""

from __future__ import annotations

from dataclasses import dataclass

from .failure import Failure


@dataclass(frozen=True, slots=True, kw_only=True)
class Outcome:
    """Outcome of applying a command.

    Attributes:
        index: Log index of the command; 0 if it was not applied.
        generation: New generation or epoch of the record, or a result code or count that the command defines.
        reference: Name or ID of the record that was changed.
        failure: Why nothing was changed; None on success.
    """

    index: int = 0
    generation: int = 0
    reference: str = ""
    failure: Failure | None = None


__all__ = ["Outcome"]

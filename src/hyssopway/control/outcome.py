"""Answer to a proposed command."""

from __future__ import annotations

from dataclasses import dataclass

from hyssopway.result import Failure


@dataclass(frozen=True, slots=True, kw_only=True)
class Outcome:
    """What applying a command came to.

    Attributes:
        index: Log index of the command; 0 when it was not applied.
        generation: New generation or epoch of what was changed.
        reference: Name of what was changed.
        failure: Why nothing was changed.
    """

    index: int = 0
    generation: int = 0
    reference: str = ""
    failure: Failure | None = None


__all__ = ["Outcome"]

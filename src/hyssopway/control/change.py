"""Result of a command that was applied successfully."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class Change:
    """What a command changed.

    Attributes:
        generation: New generation or epoch of the record, or a result code or count that the command defines.
        reference: Name or ID of the record that was changed.
    """

    generation: int = 0
    reference: str = ""


__all__ = ["Change"]

"""Success side of applying a command."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class Change:
    """What a command changed.

    Attributes:
        generation: New generation or epoch.
        reference: Name of what was changed.
    """

    generation: int = 0
    reference: str = ""


__all__ = ["Change"]

"""An active or earlier document."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True)
class StoredDocument:
    """One generation of an environment's document.

    Attributes:
        environment: Name of the environment.
        generation: Number of the generation, from 1 in each environment.
        digest: SHA-256 of the text.
        text: Text of the document as written.
        operator: Operator who activated it.
        at_ms: Wall-clock time of the activation in milliseconds, for display.
    """

    environment: str
    generation: int
    digest: str
    text: str
    operator: str
    at_ms: int


__all__ = ["StoredDocument"]

"""A document in force."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True)
class StoredDocument:
    """One generation of an environment's document.

    Attributes:
        environment: Environment.
        generation: Counts from 1 in each environment.
        digest: SHA-256 of the text.
        text: The document as written.
        operator: Who put it in force.
        at_ms: Wall-clock time in milliseconds, for display.
    """

    environment: str
    generation: int
    digest: str
    text: str
    operator: str
    at_ms: int


__all__ = ["StoredDocument"]

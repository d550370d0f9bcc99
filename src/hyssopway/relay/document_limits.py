"""Limits on requests that a document sets."""

from __future__ import annotations

from dataclasses import dataclass, fields
from typing import Any

# A document with smaller values could not be replaced by a request.
MIN_HEAD_BYTES = 1024
MIN_TIMEOUT_MS = 100


@dataclass(frozen=True, slots=True, kw_only=True)
class DocumentLimits:
    """Limits on requests of the document in force; the defaults hold without one.

    Attributes:
        max_head_bytes: Largest request head.
        max_body_bytes: Largest body of a caller's request.
        head_timeout_ms: Time in which a head must arrive.
        idle_timeout_ms: Time for which a connection may wait for its next request.
    """

    max_head_bytes: int = 16_384
    max_body_bytes: int = 262_144
    head_timeout_ms: int = 3000
    idle_timeout_ms: int = 15_000

    def encode(self) -> dict[str, int]:
        """Encodes the limits for the answer to a query for the leader."""
        return {field.name: getattr(self, field.name) for field in fields(self)}

    @staticmethod
    def decode(values: Any) -> DocumentLimits:
        """Decodes limits; a value that is missing or is not a positive whole number keeps its default."""
        if not isinstance(values, dict):
            return DocumentLimits()
        known = {
            field.name: values[field.name]
            for field in fields(DocumentLimits)
            if type(values.get(field.name)) is int and values[field.name] > 0
        }
        limits = DocumentLimits(**known)
        return DocumentLimits(
            max_head_bytes=max(limits.max_head_bytes, MIN_HEAD_BYTES),
            max_body_bytes=limits.max_body_bytes,
            head_timeout_ms=max(limits.head_timeout_ms, MIN_TIMEOUT_MS),
            idle_timeout_ms=max(limits.idle_timeout_ms, MIN_TIMEOUT_MS),
        )


__all__ = ["DocumentLimits"]

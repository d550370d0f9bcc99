"""A validation problem of a settings file or a document."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class Problem:
    """A location in a file, the invalid value and the allowed values.

    Attributes:
        file: Path of the file.
        path: Path inside the file, such as ``services.2.slots``.
        found: Description of the invalid value.
        allowed: Description of the allowed values.
    """

    file: str
    path: str
    found: str
    allowed: str

    def __str__(self) -> str:
        """Formats the problem as one line."""
        return f"{self.file}: {self.path or '(top)'}: found {self.found}; allowed: {self.allowed}"


__all__ = ["Problem"]

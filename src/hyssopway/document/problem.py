"""One problem found in a settings file or document."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class Problem:
    """Where a file is wrong and what is allowed there.

    Attributes:
        file: Path of the file.
        path: Path inside the file, such as ``services.2.slots``.
        found: What stands there.
        allowed: What may stand there.
    """

    file: str
    path: str
    found: str
    allowed: str

    def __str__(self) -> str:
        """Renders the problem on one line."""
        return f"{self.file}: {self.path or '(top)'}: found {self.found}; allowed: {self.allowed}"


__all__ = ["Problem"]

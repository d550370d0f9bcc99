"""Expected against found."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True, kw_only=True)
class Summary:
    """What a demonstration expected and found.

    Attributes:
        lines: Subject, expectation, finding, and whether they fit.
    """

    lines: list[tuple[str, str, str, bool]] = field(default_factory=list)

    def compare(self, subject: str, *, expected: object, found: object) -> None:
        """Records a value that must be equal."""
        self.lines.append((subject, str(expected), str(found), expected == found))

    def limit(self, subject: str, *, at_most: float, found: float) -> None:
        """Records a number with an upper limit."""
        self.lines.append((subject, f"at most {at_most:g}", f"{found:.1f}", found <= at_most))

    @property
    def is_right(self) -> bool:
        """Whether every finding fits."""
        return all(line[3] for line in self.lines)

    def render(self) -> str:
        """Renders one line for each finding."""
        rows = [("what", "expected", "found", "")]
        rows += [(*line[:3], "ok" if line[3] else "WRONG") for line in self.lines]
        widths = [max(len(row[position]) for row in rows) for position in range(3)]
        return "\n".join(
            "  ".join([*(row[position].ljust(widths[position]) for position in range(3)), row[3]]).rstrip()
            for row in rows
        )


__all__ = ["Summary"]

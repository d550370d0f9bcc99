"""Comparison of expected and actual results."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True, kw_only=True)
class Summary:
    """Expected and actual results of a demonstration.

    Attributes:
        lines: Subject, expected value, actual value, and whether the check passed.
    """

    lines: list[tuple[str, str, str, bool]] = field(default_factory=list)

    def compare(self, subject: str, *, expected: object, found: object) -> None:
        """Records a value that must equal the expected one."""
        self.lines.append((subject, str(expected), str(found), expected == found))

    def compare_limit(self, subject: str, *, at_most: float, found: float) -> None:
        """Records a number that must not exceed a limit."""
        self.lines.append((subject, f"at most {at_most:g}", f"{found:.1f}", found <= at_most))

    @property
    def all_passed(self) -> bool:
        """Whether every check passed."""
        return all(line[3] for line in self.lines)

    def render(self) -> str:
        """Returns the checks as a text table, one line each."""
        rows = [("what", "expected", "found", "")]
        rows += [(*line[:3], "ok" if line[3] else "WRONG") for line in self.lines]
        widths = [max(len(row[position]) for row in rows) for position in range(3)]
        return "\n".join(
            "  ".join([*(row[position].ljust(widths[position]) for position in range(3)), row[3]]).rstrip()
            for row in rows
        )


__all__ = ["Summary"]

"""Output helpers: JSON, and tables that are styled on a terminal and plain when piped."""

from __future__ import annotations

import json
import sys
import time
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Sequence


def write_json(data: Any) -> None:
    """Writes data as indented JSON to standard output."""
    write_line(json.dumps(data, indent=2))


def write_line(text: str = "") -> None:
    """Writes one line to standard output."""
    sys.stdout.write(f"{text}\n")


def write_diagnostic(text: str) -> None:
    """Writes one line of progress or a warning to standard error."""
    sys.stderr.write(f"{text}\n")
    sys.stderr.flush()


def write_table(*, columns: Sequence[str], rows: Sequence[Sequence[Any]]) -> None:
    """Writes rows under a header; None and empty cells are shown as `-`."""
    cells = [["-" if cell in (None, "") else str(cell) for cell in row] for row in rows]
    if sys.stdout.isatty():
        _write_rich(columns=columns, cells=cells)
    else:
        _write_plain(columns=columns, cells=cells)


def write_fields(fields: dict[str, Any]) -> None:
    """Writes one `name: value` line per field; values other than strings are written as JSON."""
    for name, value in fields.items():
        text = value if isinstance(value, str) else json.dumps(value)
        write_line(f"{name}: {text}")


def write_next_page_hint(cursor: str | None) -> None:
    """Writes to standard error how to request the next page, if there is one."""
    if cursor is not None:
        write_diagnostic(f"more results available; continue with --after {cursor}")


def format_time(at_ms: float | None) -> str:
    """Formats Unix time in milliseconds as UTC; empty if there is none."""
    return time.strftime("%Y-%m-%d %H:%M:%SZ", time.gmtime(at_ms / 1000)) if at_ms else ""


def _write_rich(*, columns: Sequence[str], cells: list[list[str]]) -> None:
    from rich import box
    from rich.console import Console
    from rich.table import Table
    from rich.text import Text

    table = Table(*columns, box=box.SIMPLE, header_style="bold")
    for row in cells:
        table.add_row(*(Text(cell, style=_STYLES.get(cell, "")) for cell in row))
    Console().print(table)


def _write_plain(*, columns: Sequence[str], cells: list[list[str]]) -> None:
    lines = [list(columns), *cells]
    widths = [max(len(line[position]) for line in lines) for position in range(len(columns))]
    for line in lines:
        padded = (cell.ljust(width) for cell, width in zip(line, widths, strict=True))
        write_line("  ".join(padded).rstrip())


_STYLES = {
    "ready": "green",
    "open": "green",
    "done": "green",
    "yes": "green",
    "down": "red",
    "no": "red",
    "failed": "red",
    "withdrawn": "yellow",
    "returning": "yellow",
    "draining": "yellow",
    "quarantined": "yellow",
}

__all__ = [
    "format_time",
    "write_diagnostic",
    "write_fields",
    "write_json",
    "write_line",
    "write_next_page_hint",
    "write_table",
]

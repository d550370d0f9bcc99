"""Tables of the docs against the code."""

from __future__ import annotations

import re
import subprocess
import sys
from pathlib import Path

import pytest

from hyssopway.cli.exit_status import ExitStatus
from hyssopway.cli.run import main
from hyssopway.event import Event
from hyssopway.result import ResultCode, http_status

ROOT = Path(__file__).parents[2]
DOCS = ROOT / "docs"


def read_rows(page: str, *, columns: int) -> list[tuple[str, ...]]:
    """Returns the first cells of all table rows that begin with a number."""
    rows = []
    for line in (DOCS / page).read_text().splitlines():
        cells = [cell.strip() for cell in line.strip().strip("|").split("|")]
        if line.startswith("|") and cells[0].isdecimal():
            rows.append(tuple(cells[:columns]))
    return rows


@pytest.mark.parametrize(
    ("page", "columns", "rows"),
    [
        ("errors.md", 3, [(str(int(code)), code.name, str(http_status(code).value)) for code in ResultCode]),
        ("events.md", 4, [(str(e.number), e.level, e.name, e.template) for e in Event]),
        ("operators.md", 2, [(str(int(status)), status.name) for status in ExitStatus]),
    ],
)
def test_tables_list_exactly_what_exists(page, columns, rows):
    """Guards against a number that is undocumented, and against one that no longer exists."""
    assert sorted(read_rows(page, columns=columns)) == sorted(rows)


def test_numbers_are_unique():
    """Guards against two events, or an event alias, with one number."""
    numbers = [event.number for event in Event.__members__.values()]
    assert len(set(numbers)) == len(numbers)
    assert len(ResultCode.__members__) == len(list(ResultCode))


@pytest.mark.parametrize("package", ["result", "event"])
def test_helper_prints_the_rows_of_the_page(package):
    """Guards against a helper that prints rows which the test above refuses."""
    command = [sys.executable, "-m", f"hyssopway.{package}"]
    printed = subprocess.run(command, check=True, capture_output=True, text=True).stdout
    page = (DOCS / {"result": "errors.md", "event": "events.md"}[package]).read_text()
    assert all(line.rstrip("|") in page for line in printed.splitlines())


def find_commands() -> list[str]:
    """Returns every command of the docs, without its values."""
    pages = [ROOT / "README.md", *sorted(DOCS.glob("*.md"))]
    commands = set()
    for page in pages:
        commands |= set(re.findall(r"^    hyssopway ([a-z].*?)(?:  +#.*)?$", page.read_text(), re.MULTILINE))
    return sorted(commands)


@pytest.mark.parametrize("command", find_commands())
def test_commands_of_the_docs_are_accepted(command, monkeypatch, capsys):
    """Guards against a documented command or option that does not exist."""
    monkeypatch.chdir(ROOT)
    # No entry VM listens here: a command that is well formed ends as unreachable, or needs no server.
    arguments = ["--entry", "http://127.0.0.1:9", "--token", "example", "--key", "example"]
    assert main([*arguments, *command.split()]) in (0, 5), capsys.readouterr().err


def test_commands_are_found():
    """Guards against a pattern that finds no command and lets every page pass."""
    assert len(find_commands()) > 25

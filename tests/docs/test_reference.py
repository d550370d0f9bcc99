"""Reference pages against the routes and data classes of the running code."""

from __future__ import annotations

import json
import re
from pathlib import Path
from typing import TYPE_CHECKING, Any

import pytest
from pydantic import TypeAdapter

from hyssopway.daemon import Daemon
from hyssopway.daemon.reloading import RELOADABLE
from hyssopway.document import EnvironmentDocument
from hyssopway.settings import DaemonSettings, load_settings
from hyssopway_standins.fleet import EXAMPLES

if TYPE_CHECKING:
    from collections.abc import Iterator

DOCS = Path(__file__).parents[2] / "docs"


def read_sections(page: str) -> dict[str, list[list[str]]]:
    """Returns the table rows under each heading of level 3, without the header."""
    sections: dict[str, list[list[str]]] = {}
    rows: list[list[str]] = []
    for line in (DOCS / page).read_text().splitlines():
        if line.startswith("#"):
            rows = sections.setdefault(line.lstrip("# "), []) if line.startswith("### ") else []
        elif line.startswith("| `"):
            rows.append([cell.strip() for cell in line.strip().strip("|").split(" | ")])
    return sections


def describe_fields(schema: dict[str, Any], definitions: dict[str, Any]) -> Iterator[list[str]]:
    """Yields name, default and allowed values of each field as the page shows them."""
    for name, field in schema["properties"].items():
        required = name in schema.get("required", [])
        default = (
            "required" if required else json.dumps(field["default"]) if "default" in field else "defaults"
        )
        yield [f"`{name}`", default.replace("null", "none"), describe_bounds(field, definitions)]


def describe_bounds(field: dict[str, Any], definitions: dict[str, Any]) -> str:
    """Returns the allowed values of a field."""
    target = definitions.get(field.get("$ref", "").rsplit("/", 1)[-1], field)
    words = {
        "minimum": "at least {}",
        "exclusiveMinimum": "more than {}",
        "maximum": "at most {}",
        "minLength": "at least {} characters",
        "minItems": "at least {} item",
    }
    parts = [text.format(field[name]) for name, text in words.items() if name in field]
    return ", ".join(parts or target.get("enum", []) or ["-"])


@pytest.mark.parametrize("kind", [DaemonSettings, EnvironmentDocument])
def test_settings_page_lists_every_field_with_default_and_bounds(kind):
    """Guards against a field that is undocumented, removed, or documented with another default or bound."""
    schema = TypeAdapter(kind).json_schema()
    definitions = schema.get("$defs", {})
    classes = {kind.__name__: schema} | {
        name: found for name, found in definitions.items() if "properties" in found
    }
    sections = read_sections("settings.md")
    for name, found in classes.items():
        assert [row[:3] for row in sections[name]] == list(describe_fields(found, definitions)), name


def test_settings_page_lists_what_a_reload_takes_over():
    """Guards against an operator who waits for a reload that does not take a field over."""
    rows = read_sections("settings.md")["DaemonSettings"]
    assert {row[0].strip("`") for row in rows if row[3] == "yes"} == RELOADABLE


async def test_http_page_lists_exactly_the_routes(tmp_path):
    """Guards against a route that is undocumented, and against one that no longer exists."""
    settings = load_settings(EXAMPLES / "pantry" / "settings" / "nashua-1.yaml").ok
    settings.data_dir = str(tmp_path)
    daemon = Daemon(settings=settings)
    daemon.requests.open()
    try:
        routes = {
            (route.method.replace("*", "any"), route.resource.canonical)
            for route in daemon.http.build().router.routes()
            if route.method != "HEAD"
        }
    finally:
        await daemon.requests.close()
    page = (DOCS / "http-api.md").read_text()
    listed = re.findall(r"^\| `(any|[A-Z]+) (/[^`?]*)(?:\?[^`]*)?` \|", page, re.MULTILINE)
    assert sorted(listed) == sorted(routes)


SITUATIONS = (
    "Losing a member",
    "Losing a disk",
    "Losing the quorum",
    "Replacing a VM",
    "Restoring from a snapshot or a copy of a data folder",
    "A wave",
    "A wave that paused",
    "A zone withdrawal",
    "A budget that blocks",
    "A VM that does not come back",
    "A quarantined VM",
    "A drain that does not end",
    "A key that leaked",
    "Two operators racing",
    "A lost answer",
    "A cut-off zone",
    "A full disk",
    "Clock steps",
)


@pytest.mark.parametrize("title", SITUATIONS)
def test_operators_page_says_what_is_seen_run_and_expected(title):
    """Guards against a situation for which the page leaves the operator without a command or an outcome."""
    sections = (DOCS / "operators.md").read_text().split("\n## ")
    text = next(section for section in sections if section.startswith(f"{title}\n"))
    assert "Seen: " in text
    assert "\n    hyssopway " in text
    assert "Expect: " in text

"""Validation of environment documents."""

from __future__ import annotations

import copy

import pytest
import yaml

from hyssopway.document import parse_document
from hyssopway_standins.fleet import EXAMPLES

VALID_DOCUMENT = yaml.safe_load((EXAMPLES / "pantry" / "document.yaml").read_text())
ABSENT = object()


def edit_document(*edits: tuple[str, object]) -> str:
    """Returns the example document as YAML with the values at the given paths replaced."""
    data = copy.deepcopy(VALID_DOCUMENT)
    for path, value in edits:
        *parents, last = [int(part) if part.isdecimal() else part for part in path.split(".")]
        parent = data
        for part in parents:
            parent = parent[part]
        if value is ABSENT:
            del parent[last]
        else:
            parent[last] = value
    return yaml.safe_dump(data)


CASES = [
    ([("name", ABSENT)], ["name"]),
    ([("name", [1])], ["name"]),
    ([("zones", [])], ["zones"]),
    ([("zones", "Nashua")], ["zones"]),
    ([("zones.1", "Nashua")], ["zones.1"]),
    ([("pools", [])], ["pools", "services.0.pool"]),
    ([("pools.1.name", "restock")], ["pools.1"]),
    ([("pools.0.spare", True)], ["pools"]),
    ([("pools.0.colour", 1)], ["pools.0.colour"]),
    ([("pools.0.budget.max_down", -1)], ["pools.0.budget.max_down"]),
    ([("services.0.pool", "absent")], ["services.0.pool"]),
    ([("services.0.slots", 0)], ["services.0.slots"]),
    ([("services.0.slots", 65)], ["services.0.slots"]),
    ([("services.0.slots", "many")], ["services.0.slots"]),
    ([("services.0.access", "public")], ["services.0.access"]),
    ([("services.0.timeout_s", 0)], ["services.0.timeout_s"]),
    ([("services.0.timeout_s", float("nan"))], ["services.0.timeout_s"]),
    ([("services.0.idempotent", "perhaps")], ["services.0.idempotent"]),
    ([("teams.0.share", 0)], ["teams.0.share"]),
    ([("teams.0.share", float("inf"))], ["teams.0.share"]),
    ([("teams.0.limit.cores", -1)], ["teams.0.limit.cores"]),
    ([("teams.0.limit", ABSENT)], ["teams.0.limit"]),
    ([("teams.1.name", "granite-hearth")], ["teams.1"]),
    ([("name", 1), ("zones", []), ("teams.0.share", -1)], ["name", "zones", "teams.0.share"]),
    ([("services.0.pool", "x"), ("services.1.pool", "y")], ["services.0.pool", "services.1.pool"]),
    ([("services.0.pool", "x"), ("teams.0.share", 0)], ["services.0.pool", "teams.0.share"]),
]


@pytest.mark.parametrize(("edits", "paths"), CASES)
def test_all_problems_are_reported_at_once(edits, paths):
    """Guards against a document that takes one check per error to correct."""
    result = parse_document(text=edit_document(*edits), file="document.yaml")
    assert result.is_error()
    assert set(paths) <= {problem.path for problem in result.error}
    assert all(
        problem.file == "document.yaml" and problem.found and problem.allowed for problem in result.error
    )


@pytest.mark.parametrize(
    "text", ["", "3", "- 1", "a: [", "a: b: c", "!!python/object:os.system {}", "\x00", "a: 1\na: 2"]
)
def test_text_without_document_is_refused(text):
    """Guards against an exception, or a partly read document, on text that is not a document."""
    assert parse_document(text=text, file="document.yaml").is_error()


def test_duplicate_field_is_a_problem():
    """Guards against silently keeping the last of two equal fields."""
    text = (EXAMPLES / "pantry" / "document.yaml").read_text() + "\nname: other\n"
    result = parse_document(text=text, file="document.yaml")
    assert result.is_error()
    assert "'name' again" in result.error[0].found


@pytest.mark.parametrize("deployment", ["pantry", "association"])
def test_examples_are_valid(deployment):
    """Guards against example documents that a daemon refuses."""
    text = (EXAMPLES / deployment / "document.yaml").read_text()
    assert parse_document(text=text, file="document.yaml").is_ok()

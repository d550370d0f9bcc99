"""Check of a document against the fleet and the active document, compared with golden files.

`UPDATE_GOLDEN=1` writes the golden files anew.
"""

from __future__ import annotations

import copy
import os
from pathlib import Path

import pytest
import yaml

from hyssopway.cli.run import main
from hyssopway.document.line_numbers import find_line
from hyssopway_standins.fleet import EXAMPLES

GOLDEN = Path(__file__).parent / "golden"
ACTIVE = (EXAMPLES / "pantry" / "document.yaml").read_text()
POOLS = ("restock", "matching", "pickup", "dispatch", "back-office")
ZONES = ("Nashua", "Worcester", "Providence", "Portland")


def history(*texts):
    documents = [{"generation": len(texts) - position, "text": text} for position, text in enumerate(texts)]
    return 200, {"documents": documents}


def vms(names, *, following=None):
    rows = [{"vm": {"name": f"{pool}-{zone}", "pool": pool, "zone": zone}} for pool, zone in names]
    return 200, {"vms": rows, "next": following}


FLEET = vms([(pool, zone) for pool in POOLS for zone in ZONES])


def edit(*edits):
    data = copy.deepcopy(yaml.safe_load(ACTIVE))
    for path, value in edits:
        *parents, last = [int(part) if part.isdecimal() else part for part in path.split(".")]
        inner = data
        for part in parents:
            inner = inner.setdefault(part, {}) if isinstance(inner, dict) else inner[part]
        if value is None:
            del inner[last]
        else:
            inner[last] = value
    return yaml.safe_dump(data, sort_keys=False)


CASES = {
    "unchanged": (ACTIVE, [history(ACTIVE), FLEET], 0),
    "changed": (
        edit(
            ("teams.3.share", 2),
            ("pools.0.budget.max_down", 3),
            ("services.4", None),
            ("zones.3", "Concord"),
            ("jobs.max_tries", 2),
        ),
        [history(ACTIVE), vms([(pool, zone) for pool in POOLS for zone in (*ZONES, "Concord")])],
        0,
    ),
    "first": (edit(("services", []), ("teams", [])), [history(), FLEET], 0),
    "contradictions": (
        edit(
            ("pools.1.budget.max_down_per_rack", 0),
            ("services.0.budget", {"max_down": 0}),
            ("services.2.timeout_s", 90),
            ("teams.0.max_running", 0),
            ("teams.1.limit.cores", 0),
        ),
        [history(ACTIVE), FLEET],
        64,
    ),
    "unmatched": (
        edit(("zones.1", "Worcestor"), ("services.4.pool", "offices"), ("pools.4.name", "offices")),
        [history(ACTIVE), FLEET],
        64,
    ),
    "errors": (
        edit(("teams.2.share", 0), ("services.1.pool", "absent"), ("services.3.name", None)),
        [history(ACTIVE)],
        64,
    ),
    "not-yaml": ("name: pantry\nzones: [Nashua\npools: {}\n", [history(ACTIVE)], 64),
}


@pytest.fixture
def document(tmp_path, monkeypatch):
    # The path is printed, so it must not depend on the folder of the test.
    monkeypatch.chdir(tmp_path)
    return Path("document.yaml")


@pytest.mark.parametrize("as_json", [False, True], ids=["text", "json"])
@pytest.mark.parametrize("case", list(CASES))
def test_output_matches_the_golden_file(case, as_json, start_entry_vm, document, capsys):
    """Guards against a finding or a difference that is not reported, or reported at another place."""
    text, responses, expected = CASES[case]
    document.write_text(text)
    entry = start_entry_vm(*responses)
    options = ["--entry", entry.url, "--token", "t" * 8, "check", "document.yaml", "--against-active"]
    status = main([*options, *(["--json"] if as_json else [])])
    written = capsys.readouterr()
    output = f"exit status {status}\n-- standard output\n{written.out}-- standard error\n{written.err}"
    path = GOLDEN / f"against-active-{case}.{'json' if as_json else 'text'}"
    if os.environ.get("UPDATE_GOLDEN"):
        path.write_text(output)
    assert output == path.read_text()
    assert status == expected


def test_pools_and_zones_of_all_pages_count(start_entry_vm, tmp_path):
    """Guards against a false finding because only the first page of VMs was read."""
    path = tmp_path / "document.yaml"
    path.write_text(ACTIVE)
    first, second = vms([("restock", "Nashua")], following="v"), FLEET
    entry = start_entry_vm(history(ACTIVE), first, second)
    options = ["--entry", entry.url, "--token", "t" * 8, "check", str(path), "--against-active"]
    assert main(options) == 0
    assert [request["path"] for request in entry.received_requests][1:] == [
        "/v1/vms?limit=1000",
        "/v1/vms?limit=1000&after=v",
    ]


@pytest.mark.parametrize("arguments", [["a.yaml", "b.yaml"], ["a.yaml", "--kind", "settings"]])
def test_against_active_takes_one_document(arguments, start_entry_vm, capsys):
    """Guards against a check that silently ignores a file."""
    entry = start_entry_vm(history(ACTIVE))
    assert main(["--entry", entry.url, "--token", "t" * 8, "check", *arguments, "--against-active"]) == 2
    assert "exactly one document" in capsys.readouterr().err


@pytest.mark.parametrize(
    ("path", "line"),
    [("", 1), ("b.1.c", 4), ("b.0", 3), ("b.7", 2), ("b.0.absent", 3), ("absent", 1), ("d", 5)],
)
def test_line_of_a_field(path, line):
    """Guards against a finding that points to the wrong line."""
    assert find_line(text="a: 1\nb:\n- c: 1\n- c: 2\nd: 3\n", path=path) == line

"""Global options, environment variables, profile files and the `check` command."""

from __future__ import annotations

import json
import subprocess
import sys
import time

import pytest

from hyssopway.cli.run import main
from hyssopway_standins.fleet import EXAMPLES

DOCUMENT = str(EXAMPLES / "pantry" / "document.yaml")
SETTINGS = str(EXAMPLES / "pantry" / "settings" / "nashua-1.yaml")
STATUS = (200, {"zones": []})


@pytest.mark.parametrize(
    ("arguments", "status", "text"),
    [
        (["zones", "list"], 2, "--entry"),
        (["--entry", "http://127.0.0.1:9", "zones", "list"], 2, "--token"),
        (["--entry", "http://127.0.0.1:9", "jobs", "list"], 2, "--key"),
        (["--entry", "ftp://x", "--token", "t", "zones", "list"], 2, "http or https"),
        (["nonsense"], 2, "nonsense"),
        (["check"], 2, "FILE"),
        (["check", "absent.yaml"], 64, "absent.yaml"),
        (["check", "--kind", "other", DOCUMENT], 2, "allowed: document, settings"),
        (["check", "--kind", "settings", DOCUMENT], 64, "operator_token"),
        (["--profile", "absent.yaml", "zones", "list"], 64, "absent.yaml"),
    ],
)
def test_error_names_what_is_missing_or_invalid(arguments, status, text, capsys, monkeypatch):
    """Guards against an error that does not name the missing or invalid option or file."""
    for name in ("HYSSOPWAY_ENTRIES", "HYSSOPWAY_TOKEN", "HYSSOPWAY_KEY", "HYSSOPWAY_PROFILE"):
        monkeypatch.delenv(name, raising=False)
    assert main(arguments) == status
    assert text in capsys.readouterr().err


@pytest.mark.parametrize(
    ("text", "found"),
    [
        ("- 1", "(top)"),
        ("entries: x", "entries"),
        ("entries: [ftp://x]", "entries"),
        ("token: 3\nkey: [1]", "key"),
        ("timeout_s: 0", "timeout_s"),
        ("timeout_s: true", "timeout_s"),
        ("entry: x", "unknown field"),
        ("a: [", "profile.yaml"),
    ],
)
def test_invalid_profile_field_is_reported(text, found, tmp_path, capsys):
    """Guards against silently ignoring a misspelt or invalid field of a profile."""
    path = tmp_path / "profile.yaml"
    path.write_text(text)
    assert main(["--profile", str(path), "zones", "list"]) == 64
    assert found in capsys.readouterr().err


@pytest.mark.parametrize("source", ["options", "environment", "profile"])
def test_connection_options_are_read_from_each_source(source, start_entry_vm, tmp_path, monkeypatch, capsys):
    """Guards against a documented source of options that is not read."""
    entry = start_entry_vm(STATUS)
    arguments = []
    if source == "options":
        arguments = ["--entry", entry.url, "--token", "secret-token"]
    elif source == "environment":
        monkeypatch.setenv("HYSSOPWAY_ENTRIES", f"http://127.0.0.1:9 {entry.url}")
        monkeypatch.setenv("HYSSOPWAY_TOKEN", "secret-token")
    else:
        path = tmp_path / "profile.yaml"
        path.write_text(f"entries: [{entry.url}]\ntoken: secret-token\n")
        monkeypatch.setenv("HYSSOPWAY_PROFILE", str(path))
    assert main([*arguments, "zones", "list", "--json"]) == 0
    assert json.loads(capsys.readouterr().out) == STATUS[1]
    assert entry.received_requests[0]["Authorization"] == "Bearer secret-token"


def test_check_accepts_example_document_and_settings(capsys):
    """Guards against example files that fail validation."""
    assert main(["check", DOCUMENT, SETTINGS]) == 0


def test_startup_avoids_heavy_imports():
    """Guards against a slow start of the command line due to a heavy import."""
    heavy = "{'aiohttp', 'capnp', 'pydantic', 'loguru', 'expression', 'yaml'}"
    code = f"import sys, hyssopway.cli.run; sys.exit(bool({heavy} & set(sys.modules)))"
    started = time.monotonic()
    assert subprocess.run([sys.executable, "-c", code], check=False).returncode == 0
    # The design target is 0.5 s on an idle machine; the list of modules above is the strict check.
    assert time.monotonic() - started < 5

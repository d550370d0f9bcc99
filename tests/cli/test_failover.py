"""Which entry VM is asked, and which exit status a failure ends in."""

from __future__ import annotations

import pytest

from hyssopway.cli import api_client
from hyssopway.cli.run import main

LOST = "lost"
DONE = (200, {"index": 7, "generation": 1, "reference": "Nashua"})
CLOSED = "http://127.0.0.1:9"


def failure(code: int, work: str = "not_run") -> tuple[int, dict[str, object]]:
    return 503, {"code": code, "name": "NAME", "message": "reason", "work": work}


@pytest.fixture(autouse=True)
def _no_pause(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(api_client, "RETRY_PAUSE_S", 0.01)


def withdraw(*urls: str) -> int:
    entries = [part for url in urls for part in ("--entry", url)]
    return main([*entries, "--token", "t" * 8, "--timeout", "2", "zones", "withdraw", "Nashua"])


@pytest.mark.parametrize(
    ("first", "second", "status"),
    [
        ([DONE], [DONE], 0),
        ([LOST], [DONE], 0),
        ([failure(502)], [DONE], 0),
        ([failure(503, "may_have_run")], [DONE], 0),
        ([failure(802)], [DONE], 1),
        ([failure(301)], [DONE], 3),
        ([failure(204)], [DONE], 77),
        ([LOST], [LOST], 4),
        ([LOST], [failure(502)], 4),
        ([failure(502)], [failure(502)], 1),
        ([failure(503, "may_have_run")], [failure(502)], 4),
        ([LOST], [failure(301)], 3),
        ([(500, b"<html>")], [DONE], 1),
    ],
)
def test_change_reaches_outcome_or_says_that_it_may_have_run(scripted, first, second, status):
    """Guards against reporting a change as not run after one of its answers was lost."""
    one, two = scripted(*first), scripted(*second)
    assert withdraw(one.url, two.url) == status


def test_resend_carries_the_first_request_id(scripted):
    """Guards against a second change when only the answer to the first was lost."""
    one, two = scripted(LOST), scripted(DONE)
    assert withdraw(one.url, two.url) == 0
    assert len({request["Idempotency-Key"] for request in one.seen + two.seen}) == 1


def test_closed_entries_end_as_unreachable_and_nothing_was_sent(scripted, capsys):
    """Guards against calling a change that no one received uncertain."""
    assert withdraw(CLOSED, CLOSED) == 5
    assert "does not answer" in capsys.readouterr().err


def test_message_of_lost_change_names_the_request_id(scripted, capsys):
    """Guards against an operator who cannot learn the outcome of a change."""
    entry = scripted(LOST)
    assert withdraw(entry.url) == 4
    assert f"--request-id {entry.seen[0]['Idempotency-Key']}" in capsys.readouterr().err


@pytest.mark.parametrize("name", ["a b", "a/b", "ä", "../x", "a?b#c", "%2e"])
def test_names_are_quoted_in_paths(scripted, name):
    """Guards against a name that turns into another route."""
    entry = scripted(DONE)
    assert main(["--entry", entry.url, "--token", "t" * 8, "keys", "withdraw", name]) == 0
    assert entry.seen[0]["path"].count("/") == 3
    assert "?" not in entry.seen[0]["path"]

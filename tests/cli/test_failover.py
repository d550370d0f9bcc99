"""Failover between entry VMs, and the exit status of each kind of failure."""

from __future__ import annotations

import pytest

from hyssopway.cli import api_client
from hyssopway.cli.run import main

RESPONSE_LOST = "lost"
DONE = (200, {"index": 7, "generation": 1, "reference": "Nashua"})
CLOSED = "http://127.0.0.1:9"


def failure(code: int, work: str = "not_run") -> tuple[int, dict[str, object]]:
    return 503, {"code": code, "name": "NAME", "message": "reason", "work": work}


@pytest.fixture(autouse=True)
def _shorten_retry_pause(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(api_client, "RETRY_PAUSE_S", 0.01)


def withdraw(*urls: str) -> int:
    entries = [part for url in urls for part in ("--entry", url)]
    return main([*entries, "--token", "t" * 8, "--timeout", "2", "zones", "withdraw", "Nashua"])


@pytest.mark.parametrize(
    ("first", "second", "status"),
    [
        ([DONE], [DONE], 0),
        ([RESPONSE_LOST], [DONE], 0),
        ([failure(502)], [DONE], 0),
        ([failure(503, "may_have_run")], [DONE], 0),
        ([failure(802)], [DONE], 1),
        ([failure(301)], [DONE], 3),
        ([failure(204)], [DONE], 77),
        ([RESPONSE_LOST], [RESPONSE_LOST], 4),
        ([RESPONSE_LOST], [failure(502)], 4),
        ([failure(502)], [failure(502)], 1),
        ([failure(503, "may_have_run")], [failure(502)], 4),
        ([RESPONSE_LOST], [failure(301)], 3),
        ([(500, b"<html>")], [DONE], 1),
    ],
)
def test_change_succeeds_after_failover_or_reports_unknown_outcome(start_entry_vm, first, second, status):
    """Guards against reporting a change as not run although a response to it was lost."""
    one, two = start_entry_vm(*first), start_entry_vm(*second)
    assert withdraw(one.url, two.url) == status


def test_retry_reuses_the_first_request_id(start_entry_vm):
    """Guards against applying a change twice when only the response to the first attempt was lost."""
    one, two = start_entry_vm(RESPONSE_LOST), start_entry_vm(DONE)
    assert withdraw(one.url, two.url) == 0
    assert len({request["Idempotency-Key"] for request in one.received_requests + two.received_requests}) == 1


def test_refused_connections_are_reported_as_unreachable(start_entry_vm, capsys):
    """Guards against reporting an unknown outcome for a change that no entry VM received."""
    assert withdraw(CLOSED, CLOSED) == 5
    assert "does not answer" in capsys.readouterr().err


def test_unknown_outcome_message_contains_the_request_id(start_entry_vm, capsys):
    """Guards against a failure that leaves the operator no way to find out the outcome of a change."""
    entry = start_entry_vm(RESPONSE_LOST)
    assert withdraw(entry.url) == 4
    assert f"--request-id {entry.received_requests[0]['Idempotency-Key']}" in capsys.readouterr().err


@pytest.mark.parametrize("name", ["a b", "a/b", "ä", "../x", "a?b#c", "%2e"])
def test_names_are_percent_encoded_in_paths(start_entry_vm, name):
    """Guards against a resource name whose special characters address another route."""
    entry = start_entry_vm(DONE)
    assert main(["--entry", entry.url, "--token", "t" * 8, "keys", "withdraw", name]) == 0
    assert entry.received_requests[0]["path"].count("/") == 3
    assert "?" not in entry.received_requests[0]["path"]

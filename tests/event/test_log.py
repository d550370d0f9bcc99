"""Templates and numbers of log events."""

from __future__ import annotations

import json
import string

import pytest

from hyssopway.event import Event, log_event, set_up_logging


@pytest.mark.parametrize("event", list(Event), ids=lambda event: event.name)
@pytest.mark.parametrize("json_output", [False, True])
def test_every_event_writes_its_number_and_fields(event, json_output, capsys):
    """Guards against a template that fails, or breaks the log format, with unusual field values."""
    set_up_logging(level="TRACE", json_output=json_output)
    formats = {name: spec for _, name, spec, _ in string.Formatter().parse(event.template) if name}
    fields = {name: 1.5 if spec else "{x} <red>\n" for name, spec in formats.items()}
    log_event(event, **fields)
    written = capsys.readouterr().err
    if json_output:
        record = json.loads(written)["record"]
        assert record["extra"]["event"] == event.number
        assert record["extra"] | fields == record["extra"]
    else:
        assert f" {event.number} " in written


def test_event_numbers_are_in_their_ranges():
    """Guards against an event number outside the ranges that `docs/events.md` defines."""
    assert all(1001 <= event.number <= 7999 for event in Event)

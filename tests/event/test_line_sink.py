"""Line sink: rate limit and non-blocking writes."""

from __future__ import annotations

import errno
import json
import os

import pytest

from hyssopway.event import Event, log_event, set_up_line_logging, set_up_logging
from hyssopway.event.line_sink import MAX_LINES_PER_SECOND, SEVERITIES, LineSink


def write_event(sink, *, event, level="INFO"):
    sink.write(event=event, level=level, message="text", fields={})


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    with os.fdopen(reader, "rb") as source, os.fdopen(writer, "w") as stream:
        os.set_blocking(source.fileno(), False)
        set_up_line_logging(level="INFO", stream=stream)
        yield source
        # Later tests of this process must not write to the closed pipe.
        set_up_logging(level="DEBUG", json_output=False)


def read_lines(source):
    return [json.loads(line) for line in (source.read() or b"").splitlines()]


def test_line_contains_event_number_and_fields(pipe):
    """Guards against a log line without the fields of its event."""
    log_event(Event.RUN_ENDED, run="w.0.0.0/1", vm="vm-1", outcome="done")
    (line,) = read_lines(pipe)
    assert (line["event"], line["run"], line["vm"], line["outcome"]) == (7008, "w.0.0.0/1", "vm-1", "done")


def test_lines_of_one_event_are_limited_and_counted(pipe):
    """Guards against one frequent event that crowds out the others."""
    for _ in range(3 * MAX_LINES_PER_SECOND):
        log_event(Event.RUN_ENDED, run="r", vm="v", outcome="done")
    log_event(Event.VM_GONE, vm="v", reason="gone")
    lines = read_lines(pipe)
    # The loop may cross into the next second once.
    assert MAX_LINES_PER_SECOND <= len(lines) - 1 <= 2 * MAX_LINES_PER_SECOND
    assert sum(line["left_out"]["7008"] for line in lines if "left_out" in line) >= MAX_LINES_PER_SECOND


def test_slow_reader_does_not_block_logging(pipe):
    """Guards against a process that blocks because nobody reads its log."""
    for number in range(20):
        for event in (Event.VM_GONE, Event.RUN_ENDED, Event.LEADER_MISSING):
            fields = {"vm": "v", "run": "r", "outcome": "done", "reason": "x" * 5000, "number": number}
            log_event(event, **fields)
    for line in (pipe.read() or b"").splitlines()[:-1]:
        json.loads(line)


@pytest.mark.parametrize("code", [errno.EPIPE, errno.ENOSPC, errno.EIO])
def test_write_error_is_ignored_and_counted(tmp_path, monkeypatch, code):
    """Guards against an error in the program because the reader of the log is gone or the disk is full."""
    with (tmp_path / "log").open("w+") as stream:
        sink = LineSink(stream=stream, clock=lambda: 0.0)

        def refuse(descriptor, data):
            raise OSError(code, "refused")

        with monkeypatch.context() as broken:
            broken.setattr(os, "write", refuse)
            write_event(sink, event=1)
            write_event(sink, event=1)
        write_event(sink, event=2)
        stream.seek(0)
        line = json.loads(stream.read())
    assert (line["event"], line["left_out"]) == (2, {"1": 2})


def test_events_below_the_level_are_not_written(tmp_path):
    """Guards against a level setting that the line output ignores."""
    with (tmp_path / "log").open("w+") as stream:
        sink = LineSink(stream=stream, level="WARNING")
        for event, level in ((1, "DEBUG"), (2, "INFO"), (3, "WARNING"), (4, "ERROR")):
            write_event(sink, event=event, level=level)
        stream.seek(0)
        written = [json.loads(line) for line in stream]
    assert [(line["event"], line["level"]) for line in written] == [(3, "WARNING"), (4, "ERROR")]


def test_every_level_of_the_catalogue_has_a_severity():
    """Guards against an event that cannot be logged because the line output does not know its level."""
    assert {event.level for event in Event} <= set(SEVERITIES)

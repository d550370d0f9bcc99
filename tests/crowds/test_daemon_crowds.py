"""Crowds of clients that do not behave, sent to `hyssopwayd`."""

from __future__ import annotations

import sys
import time
from dataclasses import fields
from typing import TYPE_CHECKING

import pytest

from hyssopway.settings import DaemonSettings
from hyssopway_standins.processes import Deployment

from .crowd import Crowd
from .kinds import KINDS
from .process_watch import ProcessWatch
from .system import READY_TIMEOUT_S, send, send_until_served

if TYPE_CHECKING:
    from collections.abc import Iterator

    from hyssopway_standins.processes import DaemonProcess

pytestmark = pytest.mark.crowds

# Memory of the smallest VM that a daemon is made for.
MEMORY_MB = 128


@pytest.fixture
def daemon(tmp_path) -> Iterator[DaemonProcess]:
    """A running daemon without a data folder; no other daemon runs."""
    known = {field.name for field in fields(DaemonSettings)}
    overrides = {"memory_mb": MEMORY_MB} if "memory_mb" in known else {}
    deployment = Deployment.prepare(name="pantry", folder=tmp_path, overrides=overrides)
    prepared = next(one for one in deployment.daemons.values() if "data_dir" not in one.settings)
    prepared.start()
    deadline = time.monotonic() + READY_TIMEOUT_S
    while get_health(prepared) != 200:
        assert time.monotonic() < deadline, "the daemon was not ready in time"
        time.sleep(0.1)
    yield prepared
    prepared.kill()


def get_health(daemon: DaemonProcess) -> int:
    """Fetches the health of a daemon; returns the status, 0 without an answer."""
    return send(daemon.url.removeprefix("http://"), "GET", "/health", None)


@pytest.mark.parametrize(
    "name",
    [
        "heads of many fields",
        "one field without end",
        "empty lines",
        "whole bodies",
        "large chunks",
        "tiny chunks",
        "requests without reading",
    ],
)
def test_crowd_ends_no_daemon(daemon, name):
    """Guards against a daemon that runs out of memory, or answers nobody, because of such clients."""
    host, port = daemon.own["host"], daemon.own["http_port"]
    with (
        ProcessWatch(pid=daemon.process.pid, host=host) as watch,
        Crowd(kind=KINDS[name], address=(host, port)) as crowd,
    ):
        crowd.run()
        status = send_until_served(lambda: get_health(daemon))
    sys.stdout.write(f"{watch.describe()}, status {status}\n")
    assert daemon.process.poll() is None, "the process has ended"
    assert status == 200, f"status {status}; {watch.describe()}"
    assert watch.most_held_bytes <= MEMORY_MB * 1_000_000, watch.describe()

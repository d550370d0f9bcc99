"""Settings reloaded on SIGHUP."""

from __future__ import annotations

import asyncio
import signal
import time

import pytest
import yaml

from .conftest import read_status

CHANGED = "changed-operator-token"


async def reload(daemon, text: str, *, event: str) -> str:
    """Replaces the settings file, sends SIGHUP and waits for a log event."""
    daemon.settings_path.write_text(text)
    daemon.send(signal.SIGHUP)
    deadline = time.monotonic() + 5
    while event not in daemon.log_path.read_text():
        assert time.monotonic() < deadline, daemon.log_path.read_text()
        await asyncio.sleep(0.02)
    return daemon.log_path.read_text()


async def test_reload_applies_tokens_and_log_level_and_logs_other_changes(daemon, session):
    """Guards against a reload that silently ignores a changed field."""
    changes = {"operator_token": CHANGED, "log_level": "DEBUG", "max_body_bytes": 2048, "shutdown_s": 1}
    text = yaml.safe_dump(daemon.settings | changes)
    log = await reload(daemon, text, event="settings reloaded")
    assert "changed settings max_body_bytes, shutdown_s take effect only after a restart" in log
    assert await read_status(session, f"{daemon.url}/v1/zones", token=CHANGED) == 200
    assert (
        await read_status(session, f"{daemon.url}/v1/zones", token=daemon.settings["operator_token"]) == 403
    )


@pytest.mark.parametrize("path", ["zones", "vms", "status", "waves", "permits", "members"])
async def test_operator_token_changes_on_all_routes(daemon, session, path):
    """Guards against routes that accept a leaked operator token until the restart, despite the reload."""
    url = f"{daemon.url}/v1/{path}"
    text = yaml.safe_dump(daemon.settings | {"operator_token": CHANGED})
    await reload(daemon, text, event="settings reloaded")
    assert await read_status(session, url, token=daemon.settings["operator_token"]) == 403
    # The leader lists the members. There is none here, so that route answers 503.
    assert await read_status(session, url, token=CHANGED) in (200, 503)


@pytest.mark.parametrize(
    ("changes", "problem"),
    [
        ({"log_level": "LOUD"}, "log_level: found 'LOUD'"),
        ({"fleet_token": "short"}, "fleet_token: found a secret of 5 characters"),
        ({"name": "other"}, "name: found other"),
        ({"colour": 1}, "colour"),
    ],
)
async def test_invalid_file_changes_nothing(daemon, session, changes, problem):
    """Guards against applying the valid fields of an invalid file."""
    text = yaml.safe_dump(daemon.settings | {"operator_token": CHANGED} | changes)
    assert problem in await reload(daemon, text, event="settings are invalid")
    assert await read_status(session, f"{daemon.url}/v1/zones", token=CHANGED) == 403
    assert (
        await read_status(session, f"{daemon.url}/v1/zones", token=daemon.settings["operator_token"]) == 200
    )

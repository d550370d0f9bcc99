"""Exit statuses of the daemon."""

from __future__ import annotations

import socket
import subprocess
import sys

import pytest
import yaml

from hyssopway_standins.processes import Deployment


@pytest.mark.parametrize(
    ("options", "changes", "status", "text"),
    [
        ([], {}, 2, "--settings"),
        (["--settings", "FILE", "--colour"], {}, 2, "--colour"),
        (["--settings", "absent.yaml"], {}, 64, "absent.yaml"),
        (["--settings", "FILE"], {"name": "absent", "log_level": 3}, 64, "log_level"),
        (["--settings", "FILE", "--initialise"], {"data_dir": "/dev/null/data"}, 74, " 2007 "),
    ],
)
def test_failed_start_reports_the_reason(options, changes, status, text, tmp_path):
    """Guards against wrong exit statuses, on which a supervisor would restart the daemon forever."""
    daemon = Deployment.prepare(name="pantry", folder=tmp_path).daemons["nashua-1"]
    daemon.settings_path.write_text(yaml.safe_dump(daemon.settings | changes))
    shown = [str(daemon.settings_path) if option == "FILE" else option for option in options]
    command = [sys.executable, "-m", "hyssopway", *shown]
    done = subprocess.run(command, capture_output=True, text=True, timeout=30, check=False, cwd=tmp_path)
    assert done.returncode == status, done.stderr
    assert text in done.stderr
    assert "Traceback" not in done.stderr


def test_address_in_use_is_reported_as_invalid_settings(tmp_path):
    """Guards against a traceback when another process uses the port."""
    daemon = Deployment.prepare(name="pantry", folder=tmp_path).daemons["nashua-1"]
    with socket.create_server((daemon.own["host"], daemon.own["peer_port"])):
        command = [sys.executable, "-m", "hyssopway", "--settings", str(daemon.settings_path), "--initialise"]
        done = subprocess.run(command, capture_output=True, text=True, timeout=30, check=False, cwd=tmp_path)
    assert done.returncode == 64, done.stderr
    assert " 1005 " in done.stderr

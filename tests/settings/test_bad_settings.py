"""Validation of daemon settings."""

from __future__ import annotations

import copy

import pytest
import yaml

from hyssopway.settings import load_settings
from hyssopway_standins.fleet import EXAMPLES

EXAMPLE_FILES = sorted(EXAMPLES.glob("*/settings/*.yaml"))
VALID_SETTINGS = yaml.safe_load((EXAMPLES / "pantry" / "settings" / "nashua-1.yaml").read_text())
TLS = {"certificate": "absent.pem", "private_key": "absent.key", "authority": "absent.pem"}


@pytest.mark.parametrize(
    ("changes", "paths"),
    [
        ({"name": "absent"}, ["name"]),
        ({"operator_token": "short"}, ["operator_token"]),
        ({"operator_token": None, "fleet_token": 1}, ["operator_token", "fleet_token"]),
        ({"data_dir": None}, ["data_dir"]),
        ({"log_level": "LOUD"}, ["log_level"]),
        ({"shutdown_s": 0}, ["shutdown_s"]),
        ({"drain_health_s": -1}, ["drain_health_s"]),
        ({"drain_health_s": float("nan")}, ["drain_health_s"]),
        ({"max_body_bytes": 1}, ["max_body_bytes"]),
        ({"tls": TLS}, ["tls"]),
        ({"tls": {"certificate": "x"}}, ["tls.private_key", "tls.authority"]),
        ({"peers": []}, ["name"]),
        ({"colour": 1, "log_json": "perhaps"}, ["colour", "log_json"]),
        ({"peers.0.http_port": 70_000}, ["peers.0.http_port"]),
        ({"peers.0.peer_port": 8080}, ["peers"]),
        ({"peers.0.host": "nashua.example"}, ["peers.0.host"]),
        ({"peers.1.name": "nashua-1"}, ["peers"]),
    ],
)
def test_all_problems_are_reported_at_once(changes, paths, tmp_path):
    """Guards against settings that take one start of the daemon per error to correct."""
    data = copy.deepcopy(VALID_SETTINGS)
    for path, value in changes.items():
        match path.split("."):
            case [name]:
                data[name] = value
            case [name, position, field]:
                data[name][int(position)][field] = value
    file = tmp_path / "settings.yaml"
    file.write_text(yaml.safe_dump(data))
    result = load_settings(file)
    assert result.is_error()
    assert set(paths) <= {problem.path for problem in result.error}
    assert "short" not in str(result.error[0])


@pytest.mark.parametrize("content", [b"", b"3", b"a: [", b"\xff\xfe\x00", b"name: \x00"])
def test_file_without_settings_is_refused(content, tmp_path):
    """Guards against an exception when a daemon starts."""
    file = tmp_path / "settings.yaml"
    file.write_bytes(content)
    assert load_settings(file).is_error()


@pytest.mark.parametrize("file", EXAMPLE_FILES, ids=lambda file: file.stem)
def test_examples_are_valid(file):
    """Guards against example files that a daemon refuses."""
    assert load_settings(file).is_ok()

"""Settings of the platform's programs."""

from __future__ import annotations

import pytest
import tomli_w
from pydantic import TypeAdapter

from hyssopway_platform.exact_fields import InexactValueError, read_exactly
from hyssopway_platform.settings import PlatformSettings, SettingsError, read_settings

VALID = {
    "node_name": "core-1",
    "ip_address": "10.0.0.1",
    "zone": "nashua",
    "internal_port_range": [7000, 7999],
    "zones": {"nashua": "north"},
    "listen_addresses": {"front": "10.0.0.1:80"},
}
ADAPTER = TypeAdapter(PlatformSettings)


@pytest.mark.parametrize(
    "changes",
    [
        {},
        {
            "seed_nodes": ["10.0.0.2:7000"],
            "bootstrap": True,
            "advisor": "10.0.0.9:80",
            "field_of_a_later_release": 1,
        },
        {
            "bounds": {"grace_period_s": 6, "max_hold_ms": 5000, "status_s": 1e3},
            "cloud_api": {"address": "a"},
        },
        {"bounds": {"grace_period_s": 2**53 + 1}},
        {"bounds": {"lease_ms": 3000.0}},
        {"bounds": {"lease_ms": 3000.5}},
        {"bounds": {"lease_ms": True}},
        {"bounds": {"lease_ms": "3000"}},
        {"bounds": {"status_s": "nan"}},
        {"bounds": []},
        {"bootstrap": 1},
        {"bootstrap": "perhaps"},
        {"node_name": 5},
        {"node_name": None},
        {"internal_port_range": [7000]},
        {"internal_port_range": "7000"},
        {"seed_nodes": "10.0.0.2:7000"},
        {"seed_nodes": [1]},
        {"zones": {"nashua": 1}},
        {"zones": ["nashua"]},
        {"listen_addresses": {"front": 80}},
    ],
)
def test_exact_reader_agrees_with_pydantic(changes):
    """Guards against settings that the fast reader takes differently from the full validation."""
    raw = VALID | changes
    try:
        read = read_exactly(PlatformSettings, raw)
    except InexactValueError:
        return  # `read_settings` passes these to pydantic
    assert read == ADAPTER.validate_python(raw)
    assert repr(read) == repr(ADAPTER.validate_python(raw))


@pytest.mark.parametrize("name", ["node_name", "internal_port_range", "zones", "listen_addresses"])
def test_missing_setting_is_named(name, tmp_path):
    """Guards against a start without a required setting, or a message that does not name it."""
    path = tmp_path / "settings.toml"
    path.write_text(
        "\n".join(f"{key} = {VALID[key]!r}" for key in ("node_name", "ip_address", "zone") if key != name)
    )
    with pytest.raises(SettingsError, match=f"{name}: Field required"):
        read_settings(path)


def test_convertible_setting_is_still_accepted(tmp_path):
    """Guards against refusing a value that releases before the fast reader converted."""
    path = tmp_path / "settings.toml"
    path.write_text(
        'node_name = "core-1"\nip_address = "10.0.0.1"\nzone = "nashua"\ninternal_port_range = ["7000", 7999]\n'
        '[zones]\n[listen_addresses]\n[bounds]\nlease_ms = "2500"\n'
    )
    settings = read_settings(path)
    assert (settings.internal_port_range, settings.bounds.lease_ms) == ((7000, 7999), 2500)


def test_settings_of_the_declared_types_need_no_conversion():
    """Guards against a start that loads pydantic for a usual settings file."""
    settings = read_exactly(
        PlatformSettings, VALID | {"bounds": {"grace_period_s": 6}, "seed_nodes": ["a:1"]}
    )
    assert (settings.bounds.grace_period_s, settings.seed_hosts) == (6.0, ("a",))


@pytest.mark.parametrize(
    ("table", "name", "value"),
    [
        ("limits", "memory_mb", 63),
        ("limits", "memory_mb", 71),
        ("limits", "file_descriptors", 255),
        ("request_limits", "max_connections", -1),
        ("request_limits", "max_document_bytes", 0),
        ("request_limits", "max_document_bytes", 2**23),
        ("request_limits", "body_timeout_ms", 999),
        ("request_limits", "response_timeout_ms", 10**8),
    ],
)
def test_limit_out_of_range_is_named(table, name, value, tmp_path):
    """Guards against a program that starts with a limit under which it can serve nobody, or none at all."""
    path = tmp_path / "settings.toml"
    path.write_text(tomli_w.dumps(VALID | {table: {name: value}}))
    with pytest.raises(SettingsError, match=rf"{table}\.{name}: {value} is not between"):
        read_settings(path)


@pytest.mark.parametrize(
    ("limits", "connections"),
    [
        ({}, 1884),
        ({"memory_mb": 200, "file_descriptors": 4100}, 1886),
        ({"memory_mb": 100.5, "file_descriptors": 4100}, 1005),
        ({"memory_mb": 200, "file_descriptors": 400}, 36),
        ({"memory_mb": 200, "file_descriptors": 256}, 16),
        ({"memory_mb": 4000, "file_descriptors": 100_000}, 4096),
    ],
)
def test_connections_are_bounded_by_memory_and_descriptors(limits, connections, tmp_path):
    """Guards against connections that take the memory of the process or the descriptors of its files."""
    path = tmp_path / "settings.toml"
    path.write_text(tomli_w.dumps(VALID | {"limits": limits}))
    assert read_settings(path).max_connections == connections
    path.write_text(tomli_w.dumps(VALID | {"limits": limits, "request_limits": {"max_connections": 77}}))
    assert read_settings(path).max_connections == 77

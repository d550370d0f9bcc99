"""Settings of the platform's programs."""

from __future__ import annotations

import pytest
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

"""Calls of worker VMs and operators."""

from __future__ import annotations

import pytest

from adapter.conftest import MANIFEST

REPORT = {
    "service": "vans",
    "address": "10.0.0.1:80",
    "zone": "nashua",
    "state": "ready",
    "capacity": {"cpu": 64000, "memory_request_mb": 1000},
    "labels": ["a", "r1"],
    "call_sequence": 4,
    "born": 7,
}


async def test_manifest_is_read_back_as_it_was_sent(client):
    """Guards against a manifest that changes on its way."""
    assert await client.control("GET", "config") == (200, MANIFEST)


async def test_read_before_the_first_manifest_is_not_answered_with_nothing(bare):
    """Guards against an empty manifest that looks like an older one."""
    assert (await bare.control("GET", "config"))[0] == 503


@pytest.mark.parametrize("version", [0, 1])
async def test_manifest_that_is_not_newer_is_acknowledged_and_changes_nothing(client, version):
    """Guards against other content under the version held."""
    assert (await client.control("PUT", "config", MANIFEST | {"version": version, "routes": []}))[0] == 200
    assert await client.control("GET", "config") == (200, MANIFEST)


async def test_invalid_manifest_is_refused_and_changes_nothing(client):
    """Guards against an invalid manifest in force."""
    broken = MANIFEST | {"version": 5, "services": []}
    assert (await client.control("PUT", "config", broken))[0] == 400
    assert await client.control("GET", "config") == (200, MANIFEST)


async def test_report_is_taken_in_and_names_where_to_send_the_next(client):
    """Guards against VMs that keep calling a node that passes everything on."""
    assert await client.control("PUT", "instances/i-1", REPORT) == (
        200,
        {"heartbeat_address": "10.0.0.9:80"},
    )
    assert client.controller.leadership.state.tables.vms["i-1"].capacity.cpu_millis == 64000


async def test_report_that_was_overtaken_is_acknowledged_and_ignored(client):
    """Guards against an older state of a VM that arrives late."""
    await client.control("PUT", "instances/i-1", REPORT | {"state": "draining", "call_sequence": 9})
    assert (await client.control("PUT", "instances/i-1", REPORT))[0] == 200
    assert len(client.controller.announced) == 1
    await client.control("PUT", "instances/i-1", REPORT | {"born": 8, "call_sequence": 1})
    assert len(client.controller.announced) == 2


@pytest.mark.parametrize("change", [{"service": "x"}, {"state": "asleep"}, {"capacity": None}])
async def test_report_of_another_writer_names_no_vm(client, change):
    """Guards against a VM that does not exist."""
    assert (await client.control("PUT", "instances/i-1", REPORT | change))[0] == 400
    assert client.controller.leadership.state.tables.vms == {}


async def test_zone_is_evacuated_and_taken_back(client):
    """Guards against an evacuation of a zone that is not there, or that cannot be withdrawn."""
    tables = client.controller.leadership.state.tables
    assert (await client.control("POST", "evacuations/mars"))[0] == 400
    assert (await client.control("POST", "evacuations/nashua"))[0] == 200
    assert tables.evacuated == {"nashua"}
    assert (await client.control("DELETE", "evacuations/nashua"))[0] == 200
    assert tables.evacuated == set()


async def test_wave_is_running_until_each_machine_has_begun(client):
    """Guards against a wave that is said to be completed too early."""
    order = {"wave": 1, "machines": ["m1", "m1"], "duration_s": 20, "upper_limit": 1}
    assert (await client.control("GET", "wave-get/1"))[0] == 404
    assert (await client.control("POST", "wave-start", order))[0] == 200
    assert await client.control("GET", "wave-get/1") == (200, {"state": "running"})
    client.controller.leadership.state.tables.waves[1].confirmed.add("m1")
    assert await client.control("GET", "wave-get/1") == (200, {"state": "completed"})
    assert (await client.control("GET", "wave-get/x"))[0] == 400


async def test_unknown_call_is_refused(client):
    """Guards against a call that is taken for another."""
    assert (await client.control("POST", "unknown"))[0] == 404

"""Control API: reports of worker VMs and requests of operators."""

from __future__ import annotations

import pytest

from adapter.conftest import MANIFEST
from hyssopway.dispatch import LeadershipLostError

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
    """Guards against a manifest that is changed while it is stored."""
    assert await client.control("GET", "config") == (200, MANIFEST)


async def test_read_before_the_first_manifest_is_answered_with_503(client_without_manifest):
    """Guards against an empty reply that looks like an old manifest."""
    assert (await client_without_manifest.control("GET", "config"))[0] == 503


@pytest.mark.parametrize("version", [0, 1])
async def test_manifest_that_is_not_newer_is_acknowledged_and_ignored(client, version):
    """Guards against replacing a manifest by another of the same or a lower version."""
    assert (await client.control("PUT", "config", MANIFEST | {"version": version, "routes": []}))[0] == 200
    assert await client.control("GET", "config") == (200, MANIFEST)


async def test_invalid_manifest_is_refused_and_changes_nothing(client):
    """Guards against an invalid manifest that becomes active."""
    broken = MANIFEST | {"version": 5, "services": []}
    assert (await client.control("PUT", "config", broken))[0] == 400
    assert await client.control("GET", "config") == (200, MANIFEST)


async def test_report_registers_the_vm_and_returns_the_next_address(client):
    """Guards against VMs that keep reporting to a node that only relays their reports."""
    assert await client.control("PUT", "instances/i-1", REPORT) == (
        200,
        {"heartbeat_address": "10.0.0.9:80"},
    )
    assert client.controller.leadership.state.tables.vms["i-1"].capacity.cpu_millis == 64000


async def test_outdated_report_is_acknowledged_and_ignored(client):
    """Guards against a delayed report that overwrites a newer state of the VM."""
    await client.control("PUT", "instances/i-1", REPORT | {"state": "draining", "call_sequence": 9})
    assert (await client.control("PUT", "instances/i-1", REPORT))[0] == 200
    assert len(client.controller.announcements) == 1
    await client.control("PUT", "instances/i-1", REPORT | {"born": 8, "call_sequence": 1})
    assert len(client.controller.announcements) == 2


async def test_copy_of_a_report_is_not_acknowledged_before_the_report_is_stored(client):
    """Guards against a VM that is told that its drain is known while that is lost with the leader (DRAIN)."""
    store = client.controller.handle_announcement

    async def lose_leadership(_):
        raise LeadershipLostError("not confirmed", may_take_effect=True)

    client.controller.handle_announcement = lose_leadership
    draining = REPORT | {"state": "draining"}
    for _ in range(2):
        with pytest.raises(LeadershipLostError):
            await client.control("PUT", "instances/i-1", draining)
    client.controller.handle_announcement = store
    assert (await client.control("PUT", "instances/i-1", draining))[0] == 200
    assert client.controller.leadership.state.tables.vms["i-1"].draining


@pytest.mark.parametrize("change", [{"service": "x"}, {"state": "asleep"}, {"capacity": None}])
async def test_invalid_report_registers_no_vm(client, change):
    """Guards against registering a VM from an invalid report."""
    assert (await client.control("PUT", "instances/i-1", REPORT | change))[0] == 400
    assert client.controller.leadership.state.tables.vms == {}


async def test_evacuation_of_a_zone_is_set_and_withdrawn(client):
    """Guards against evacuating an unknown zone, and against an evacuation that cannot be withdrawn."""
    tables = client.controller.leadership.state.tables
    assert (await client.control("POST", "evacuations/mars"))[0] == 400
    assert (await client.control("POST", "evacuations/nashua"))[0] == 200
    assert tables.evacuated == {"nashua"}
    assert (await client.control("DELETE", "evacuations/nashua"))[0] == 200
    assert tables.evacuated == set()


async def test_wave_is_running_until_all_machines_are_confirmed(client):
    """Guards against reporting a wave as completed too early."""
    order = {"wave": 1, "machines": ["m1", "m1"], "duration_s": 20, "upper_limit": 1}
    assert (await client.control("GET", "wave-get/1"))[0] == 404
    assert (await client.control("POST", "wave-start", order))[0] == 200
    assert await client.control("GET", "wave-get/1") == (200, {"state": "running"})
    client.controller.leadership.state.tables.waves[1].confirmed.add("m1")
    assert await client.control("GET", "wave-get/1") == (200, {"state": "completed"})
    assert (await client.control("GET", "wave-get/x"))[0] == 400


async def test_unknown_call_is_refused(client):
    """Guards against handling an unknown request as another one."""
    assert (await client.control("POST", "unknown"))[0] == 404

"""Reports and lists with one odd entry: it names no VM to use, and the others hold."""

from __future__ import annotations

import json
from types import SimpleNamespace

import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer

from adapter.conftest import MANIFEST
from adapter.test_control_api import REPORT
from hyssopway.dispatch import MachineState, WorkerUnreachableError
from hyssopway.dispatch.admission_control import WARM_UP_S
from hyssopway_platform.machine_client import MAX_PAGES, MachineClient
from hyssopway_platform.worker_client import _decode_poll

HUGE = 10**400
NESTED = ("[" * 100_000 + "]" * 100_000).encode()
YEAR_2100_MS = 4_102_444_800_000


@pytest.mark.parametrize(
    "change",
    [
        {"born": 10**30},
        {"born": YEAR_2100_MS},
        {"born": -1},
        {"call_sequence": HUGE},
        {"call_sequence": -1},
        {"capacity": {"cpu": HUGE}},
        {"capacity": {"cpu": -1}},
        {"capacity": {"memory_request_mb": HUGE}},
        {"capacity": {"gpus": 10**12}},
        {"zone": "mars"},
        {"zone": "z" * 100_000},
        {"service": "s" * 100_000},
        {"labels": ["r"] * 100_000},
        {"labels": ["r" * 100_000]},
        {"address": "10.0.0.1"},
        {"address": "10.0.0.1:0"},
        {"address": "10.0.0.1:-1"},
        {"address": "10.0.0.1:99999"},
        {"address": "10.0.0.1:80/path"},
        {"address": "10.0.0.1:80\r\nX: y"},
        {"address": "0.0.0.0:80"},
        {"address": "a" * 100_000},
        {"address": "vm.example:80"},
    ],
    ids=lambda change: str(change)[:40],
)
async def test_odd_report_registers_no_vm_and_leaves_the_others(client, change):
    """Guards against one odd report that the leader stores and then fails on in each of its rounds."""
    assert (await client.control("PUT", "instances/i-1", REPORT))[0] == 200
    assert (await client.control("PUT", "instances/i-2", REPORT | change))[0] == 400
    assert list(client.controller.leadership.state.tables.vms) == ["i-1"]


async def test_jobs_are_accepted_after_a_report_with_a_huge_capacity(client):
    """Guards against a pool that answers each submission with an error, because its capacity is no float any more."""
    route = MANIFEST["routes"][0] | {"stretch": 2.0, "target_latency_ms": 500}
    await client.control("PUT", "config", MANIFEST | {"version": 2, "routes": [route]})
    for vm, cpu in (("i-1", 64000), ("i-2", HUGE)):
        await client.control("PUT", f"instances/{vm}", REPORT | {"capacity": {"cpu": cpu}})
        client.controller.links[vm] = SimpleNamespace(has_acked_term=True)
    client.controller.leadership.started_at -= WARM_UP_S
    job = {"specification": "", "steps": [{"count": 1, "cpu": 500, "estimated_ms": 900}]}
    assert (await client.call("POST", "/p/0123456789abcdef", job))[0] == 200


@pytest.mark.parametrize("body", [NESTED, b'{"a":' * 100_000, json.dumps(REPORT).encode()[:-3], b"\xff"])
async def test_unreadable_report_is_refused(client, body):
    """Guards against bytes that end the process which decodes them."""
    assert (await client.control("PUT", "instances/i-2", body))[0] == 400


@pytest.mark.parametrize("vm", ["i" * 100_000, "", "i 2", "i\r\nX: y", "é"])
async def test_report_with_an_odd_id_is_refused(client, vm):
    """Guards against an ID that cannot be sent back in a header."""
    assert (await client.control("PUT", f"instances/{vm}", REPORT))[0] == 400


async def test_odd_report_does_not_shut_out_the_real_one(client):
    """Guards against a refused report of the far future whose boot counts as the latest."""
    await client.control("PUT", "instances/i-1", REPORT | {"born": 10**30})
    assert (await client.control("PUT", "instances/i-1", REPORT))[0] == 200
    assert client.controller.leadership.state.tables.vms["i-1"].boot == REPORT["born"]


@pytest.mark.parametrize(
    "change",
    [
        {"clock_ms": HUGE},
        {"born": HUGE},
        {"running": [["w.0.0.1", HUGE, "", 1]]},
        {"running": [["w.0.0.1", 1, "", HUGE]]},
        {"finished": [[HUGE, "w.0.0.0", 1, "done", ""]]},
        {"finished": [[1, "w.0.0.0", HUGE, "done", ""]]},
    ],
)
def test_list_of_runs_with_a_huge_number_counts_as_no_answer(change):
    """Guards against a number that no float holds, in the clock or the counts of one VM."""
    with pytest.raises(WorkerUnreachableError):
        _decode_poll({"clock_ms": 5, "born": 1, "running": [], "finished": []} | change)


MACHINE = {"machine_id": "m-1", "pool": "vans", "state": "up", "zone": "nashua", "id": "i-1"}


@pytest.fixture
async def platform():
    """Machine API whose pages are set by the test."""
    pages = {}

    async def answer(request):
        return web.json_response(pages[request.query.get("page_token", "")])

    app = web.Application()
    app.router.add_get("/hyssopway/machines", answer)
    async with TestServer(app, host="127.0.0.1") as server:
        client = MachineClient(address=f"127.0.0.1:{server.port}", holder="node-1")
        client.open()
        yield pages, client
        await client.close()


@pytest.mark.parametrize("entry", [None, 7, "m-2", [], {}, {"machine_id": 7}, {"machine_id": None}])
async def test_odd_machine_in_the_list_is_left_out(platform, entry):
    """Guards against one entry that stops the leader from following the list of machines."""
    pages, client = platform
    pages[""] = {"machines": [entry, MACHINE]}
    assert [machine.machine_id for machine in await client.list_machines()] == ["m-1"]


@pytest.mark.parametrize(
    "change", [{"state": ["up"]}, {"state": "asleep"}, {"pool": 5}, {"zone": {}}, {"id": []}]
)
async def test_machine_with_an_odd_field_is_listed_as_down(platform, change):
    """Guards against a wave that is complete because an entry could not be read, and against orders to its machine."""
    pages, client = platform
    pages[""] = {"machines": [MACHINE | {"machine_id": "m-2"} | change, MACHINE]}
    assert [(machine.machine_id, machine.state) for machine in await client.list_machines()] == [
        ("m-2", MachineState.DOWN),
        ("m-1", MachineState.UP),
    ]


async def test_list_of_machines_without_an_end_is_an_error(platform):
    """Guards against reading pages for ever."""
    pages, client = platform
    pages[""] = pages["again"] = {"machines": [], "next_page_token": "again"}
    with pytest.raises(Exception, match=str(MAX_PAGES)):
        await client.list_machines()

"""Advisor client: requests over HTTP and invalid answers."""

from __future__ import annotations

import json

import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer

from hyssopway.dispatch import AdviceError
from hyssopway_platform.advisor_client import AdvisorClient


class FakeAdvisor:
    """Fake advisor with a configurable answer; records the requests."""

    def __init__(self):
        self.status = 200
        self.body = b'{"good":[["vm-1","t-1"]]}'
        self.requests = []

    async def answer(self, request):
        self.requests.append((request.path, await request.json()))
        return web.Response(status=self.status, body=self.body, content_type="application/json")


@pytest.fixture
def advisor():
    return FakeAdvisor()


@pytest.fixture
async def client(advisor):
    app = web.Application()
    app.router.add_post("/hyssopway/advise", advisor.answer)
    async with TestServer(app) as server:
        created = AdvisorClient(address=f"{server.host}:{server.port}")
        created.open()
        yield created
        await created.close()


async def ask(client):
    return await client.advise(step="w.0.1", vms=("vm-1", "vm-2"), timeout_s=0.5)


async def test_request_names_step_and_vms(client, advisor):
    """Guards against a request whose format the advisor does not accept."""
    assert await ask(client) == {"vm-1": "t-1"}
    assert advisor.requests == [("/hyssopway/advise", {"step": "w.0.1", "workers": ["vm-1", "vm-2"]})]


async def test_tickets_of_unrequested_vms_are_dropped(client, advisor):
    """Guards against accepting tickets of VMs that were not in the request, or empty tickets."""
    advisor.body = json.dumps({"good": [["vm-9", "t-9"], ["vm-2", ""]]}).encode()
    assert await ask(client) == {}


@pytest.mark.parametrize(
    ("status", "body"),
    [
        pytest.param(429, b"", id="busy"),
        pytest.param(200, b"{cut", id="cut short"),
        pytest.param(200, b"[]", id="no object"),
        pytest.param(200, b'{"good":[["vm-1"]]}', id="row without a ticket"),
        pytest.param(200, b'{"good":7}', id="no rows"),
        pytest.param(200, b"[" * 100_000, id="nested too deeply"),
    ],
)
async def test_invalid_answer_is_an_error(client, advisor, status, body):
    """Guards against a crash of the caller, and against treating an invalid answer as a refusal of all VMs."""
    advisor.status, advisor.body = status, body
    with pytest.raises(AdviceError):
        await ask(client)


async def test_deployment_without_advisor_is_an_error():
    """Guards against a request to an empty address."""
    client = AdvisorClient(address="")
    client.open()
    with pytest.raises(AdviceError):
        await ask(client)
    await client.close()

"""Fixtures: the platform service on a leader, called without a network."""

from __future__ import annotations

import json
from collections import Counter
from dataclasses import replace

import pytest
from expression import Ok

from dispatch.conftest import FakeLeadership
from hyssopway.dispatch.admission_control import AdmissionControl
from hyssopway.dispatch.duration_scale import DurationScale
from hyssopway.relay import RelayedRequest
from hyssopway.workflow import CURRENT_VERSION, SetStateVersion
from hyssopway_platform.control_api import ControlApi
from hyssopway_platform.listener_kind import CALLERS, CONTROL
from hyssopway_platform.service import PlatformService

MANIFEST = {
    "version": 1,
    "routes": [
        {"name": "plans", "host": "a.example", "path_prefix": "/p/", "timeout_ms": 3000, "service": "vans"},
        {
            "name": "open",
            "host": "a.example",
            "path_prefix": "/p/open/",
            "timeout_ms": 3000,
            "service": "vans",
            "public": True,
        },
    ],
    "services": [{"name": "vans"}],
    "limits": {"max_body_bytes": 400},
    "tenants": [{"name": "one", "api_keys": ["key-1"]}, {"name": "two", "api_keys": ["key-2"]}],
}


class FakeMember:
    """Consensus member whose reads are always confirmed."""

    async def read_index(self, *, timeout_s):
        return Ok(1)


class FakeLeaderController:
    """Records announcements and applies them to the replicated state at once."""

    def __init__(self):
        self.leadership = FakeLeadership()
        self.leadership.member = FakeMember()
        self.leadership.apply(SetStateVersion(version=CURRENT_VERSION))
        self.announcements = []
        self.links = {}
        self.counters = Counter()
        self.begin_term()

    def begin_term(self):
        """Starts with the soft state of a new leader on the same replicated state."""
        self.leadership.started_at = self.leadership.now
        self.admission = AdmissionControl(
            leadership=self.leadership,
            links=self.links,
            scale=DurationScale(),
            list_arriving=lambda _: [],
            counters=self.counters,
        )

    async def handle_announcement(self, command):
        self.announcements.append(command)
        await self.leadership.propose(command)

    async def handle_departure(self, *, vm):
        self.announcements.append(vm)


class Client:
    """Sends requests to the service and decodes the replies."""

    def __init__(self):
        self.controller = FakeLeaderController()
        control = ControlApi(own_address="10.0.0.9:80", zones=frozenset({"nashua"}))
        self.service = PlatformService(control=control)
        self.headers = {}

    async def call(self, method, path, body=None, *, key="key-1", entry=CALLERS):
        data = body if isinstance(body, bytes) else json.dumps(body).encode() if body is not None else b""
        request = RelayedRequest(
            entry=entry,
            method=method,
            path=path,
            host="a.example:80",
            credential=f"Bearer {key}" if key else "",
            body=data,
        )
        reply = await self.service.answer(request=request, controller=self.controller)
        if reply.confirm_token:
            request = replace(request, confirm_token=reply.confirm_token)
            reply = await self.service.answer(request=request, controller=self.controller)
        self.headers = reply.headers
        return reply.status, json.loads(reply.body)

    async def control(self, method, path, body=None):
        return await self.call(method, f"/hyssopway/{path}", body, entry=CONTROL)


@pytest.fixture
def client_without_manifest():
    return Client()


@pytest.fixture
async def client(client_without_manifest):
    assert (await client_without_manifest.control("PUT", "config", MANIFEST))[0] == 200
    return client_without_manifest

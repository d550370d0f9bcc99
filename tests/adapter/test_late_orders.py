"""Orders of operators that reach the leader after their caller has sent other orders elsewhere."""

from __future__ import annotations

import asyncio
import socket
import threading
import time

import pytest

from hyssopway.clock import monotonic_s
from hyssopway.metrics import Metrics
from hyssopway.relay import LeaderFinder, Relay, RelayedReply, RelayedRequest
from hyssopway.workflow import SetZoneEvacuated
from hyssopway_platform.listener_kind import CONTROL
from hyssopway_platform.request_listener import RequestListener

WITHDRAW = b"DELETE /hyssopway/evacuations/nashua HTTP/1.1\r\nHost: control\r\n\r\n"
TIMEOUT_S = 1.0


class LeaderDirectory:
    """Directory of nodes in which every node is the leader.

    Attributes:
        hold: Called before a request is passed on.
    """

    def __init__(self, client):
        self.api = client
        self.hold = None

    def client(self, host):
        return self

    async def exchange(self, *, topic, data, timeout_s):
        if self.hold is not None:
            await self.hold()
        request = RelayedRequest.decode(data)
        reply = await self.api.service.answer(request=request, controller=self.api.controller)
        return reply.encode()


@pytest.fixture
async def leader(client):
    await client.controller.leadership.propose(SetZoneEvacuated(zone="nashua", evacuated=True))
    return LeaderDirectory(client)


@pytest.fixture
async def address(leader):
    """Address of a node that relays requests to the leader."""
    finder = LeaderFinder(directory=leader, seed_hosts=("a",), clock=monotonic_s)
    finder.set_leader("a")
    listener = RequestListener(entry=CONTROL, serve=Relay(finder=finder).send, metrics=Metrics())
    await listener.open(host="127.0.0.1", port=0)
    yield listener.listener.tcp_server.sockets[0].getsockname()
    await listener.close()


def send_order(address, *, closes_after_s=None, answers=None):
    """Sends the order on a connection of its own; reads the answer unless the caller gives up."""
    with socket.create_connection(address) as connection:
        connection.sendall(WITHDRAW)
        if closes_after_s is not None:
            time.sleep(closes_after_s)
            return
        connection.settimeout(5.0)
        answers.append(int(connection.recv(4096).split()[1]))


def is_evacuated(leader):
    return "nashua" in leader.api.controller.leadership.state.tables.evacuated


async def test_order_of_an_operator_who_waits_is_carried_out(leader, address):
    """Guards against orders that are refused although nothing delays them."""
    answers = []
    await asyncio.to_thread(send_order, address, answers=answers)
    assert (answers, is_evacuated(leader)) == ([200], False)


@pytest.mark.parametrize("gives_up", [True, False], ids=["closes its connection", "leaves it open"])
async def test_late_copy_of_an_order_does_not_undo_a_newer_evacuation(leader, address, gives_up):
    """Guards against a node that was frozen and then carries out an order that waited in its socket (EVAC)."""
    answers = []
    wait = {"closes_after_s": TIMEOUT_S} if gives_up else {"answers": answers}
    caller = threading.Thread(target=send_order, args=(address,), kwargs=wait)
    await asyncio.sleep(0.2)
    caller.start()
    time.sleep(TIMEOUT_S + 0.5)  # noqa: ASYNC251  the whole process stands still
    await asyncio.to_thread(caller.join)
    await asyncio.sleep(0.3)
    assert is_evacuated(leader)
    assert answers == ([] if gives_up else [503])


async def test_order_whose_caller_hung_up_is_not_carried_out(leader, address):
    """Guards against an order that a cut held up and that arrives together with the end of its connection (EVAC)."""
    await asyncio.to_thread(send_order, address, closes_after_s=0.0)
    await asyncio.sleep(0.3)
    assert is_evacuated(leader)


async def test_order_that_is_held_up_on_its_way_to_the_leader_is_not_carried_out(leader, address):
    """Guards against a copy of an order that a cut between two nodes holds up for longer than its caller waits (EVAC)."""
    answers = []

    async def hold_up():
        leader.api.controller.leadership.now += TIMEOUT_S
        await asyncio.sleep(0)

    leader.hold = hold_up
    await asyncio.to_thread(send_order, address, answers=answers)
    assert (answers, is_evacuated(leader)) == ([503], True)


@pytest.mark.parametrize("token", ["", "2/100000", "3/98000", "3/101000", "3/x", "3", "x"])
async def test_evacuation_needs_a_recent_confirmation(client, token):
    """Guards against an order with a token of another term, of another time, or none, that takes effect (EVAC)."""
    request = RelayedRequest(
        entry=CONTROL,
        method="POST",
        path="/hyssopway/evacuations/nashua",
        host="",
        credential="",
        body=b"",
        confirm_token=token,
    )
    reply = await client.service.answer(request=request, controller=client.controller)
    assert (reply.status, reply.confirm_token) == (0, "3/100000")
    assert client.controller.leadership.state.tables.evacuated == set()


async def test_requests_and_replies_with_tokens_survive_the_wire():
    """Guards against tokens that are lost between two nodes."""
    request = RelayedRequest(
        entry=CONTROL, method="POST", path="/", host="", credential="", body=b"b", confirm_token="1/2"
    )
    assert RelayedRequest.decode(request.encode()) == request
    assert RelayedReply.decode(RelayedReply.ask_to_confirm("1/2").encode()).confirm_token == "1/2"

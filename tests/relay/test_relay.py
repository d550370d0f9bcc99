"""Relaying of requests to a leader that may change or be unreachable."""

from __future__ import annotations

import asyncio

import pytest

from hyssopway.clock import monotonic_s
from hyssopway.peer import PeerUnreachableError
from hyssopway.relay import DocumentLimits, LeaderFinder, Relay, RelayedReply, RelayedRequest, UnansweredError

REQUEST = RelayedRequest(entry="callers", method="POST", path="/a", host="h", credential="", body=b"")


class FakeNodes:
    """Directory of nodes with preset replies."""

    def __init__(self):
        self.replies = {}
        self.queried = []

    def client(self, host):
        nodes = self

        class Client:
            async def exchange(self, *, topic, data, timeout_s):
                nodes.queried.append(host)
                reply = nodes.replies[host]
                if isinstance(reply, Exception):
                    raise reply
                return reply.encode()

        return Client()


@pytest.fixture
def nodes():
    return FakeNodes()


@pytest.fixture
def finder(nodes):
    return LeaderFinder(directory=nodes, seed_hosts=("a", "b"), clock=monotonic_s)


async def test_reply_of_leader_is_returned(nodes, finder):
    """Guards against a reply that does not reach its caller."""
    nodes.replies["a"] = RelayedReply(status=200, body=b"{}")
    finder.set_leader("a")
    assert (await Relay(finder=finder).send(REQUEST, timeout_s=1.0)).status == 200


async def test_redirect_of_former_leader_is_followed(nodes, finder):
    """Guards against requests that keep going to a former leader."""
    nodes.replies = {"a": RelayedReply(status=0, leader="b"), "b": RelayedReply(status=200)}
    finder.set_leader("a")
    assert (await Relay(finder=finder).send(REQUEST, timeout_s=1.0)).status == 200
    assert nodes.queried == ["a", "b"]


async def test_request_without_leader_has_not_run(finder):
    """Guards against a failure that reports "may have run" for a request that was never sent."""
    with pytest.raises(UnansweredError) as caught:
        await Relay(finder=finder).send(REQUEST, timeout_s=0.1)
    assert not caught.value.may_have_run


async def test_unanswered_request_may_have_run(nodes, finder):
    """Guards against a false report that a request has not run."""
    nodes.replies["a"] = PeerUnreachableError("a did not answer")
    finder.set_leader("a")
    with pytest.raises(UnansweredError) as caught:
        await Relay(finder=finder).send(REQUEST, timeout_s=0.1)
    assert caught.value.may_have_run


async def test_request_that_a_former_leader_proposed_may_have_run(nodes, finder):
    """Guards against "not run" for a change that may still be committed after its leader lost the leadership."""
    nodes.replies["a"] = RelayedReply.redirect(leader="", may_have_run=True)
    finder.set_leader("a")
    with pytest.raises(UnansweredError) as caught:
        await Relay(finder=finder).send(REQUEST, timeout_s=0.1)
    assert caught.value.may_have_run


class AnsweringClient:
    """Leader that answers each attempt with the next of some replies or errors."""

    def __init__(self, *answers):
        self.answers = list(answers)

    async def exchange(self, *, topic, data, timeout_s):
        answer = self.answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer.encode()


@pytest.mark.parametrize("status", [401, 404, 410, 429, 503])
@pytest.mark.parametrize(
    "lost",
    [PeerUnreachableError("reset"), RelayedReply.redirect(leader="a", may_have_run=True)],
    ids=["no answer", "lost leadership"],
)
async def test_refusal_after_a_lost_answer_does_not_claim_that_the_job_never_ran(finder, status, lost):
    """Guards against a 401 for a job that an earlier attempt had handed in, whose key was withdrawn since (REFUSED)."""
    client = AnsweringClient(lost, RelayedReply(status=status))
    finder.directory.client = lambda _: client
    finder.set_leader("a")
    asyncio.get_running_loop().call_later(0.05, finder.set_leader, "a")
    with pytest.raises(UnansweredError) as caught:
        await Relay(finder=finder).send(REQUEST, timeout_s=1.0)
    assert caught.value.may_have_run
    assert client.answers == []


@pytest.mark.parametrize("status", [401, 404, 410, 429, 503])
async def test_refusal_after_a_refused_connection_reaches_the_caller(finder, unreachable_peer, status):
    """Guards against an unknown outcome for a request that no leader received but the one that refused it."""
    clients = iter([unreachable_peer, AnsweringClient(RelayedReply(status=status))])
    finder.directory.client = lambda _: next(clients)
    finder.set_leader("a")
    asyncio.get_running_loop().call_later(0.05, finder.set_leader, "b")
    assert (await Relay(finder=finder).send(REQUEST, timeout_s=1.0)).status == status


async def test_request_whose_connection_was_refused_has_not_run(finder, unreachable_peer):
    """Guards against an unknown outcome for a request that no leader received."""
    finder.directory.client = lambda _: unreachable_peer
    finder.set_leader("a")
    with pytest.raises(UnansweredError) as caught:
        await Relay(finder=finder).send(REQUEST, timeout_s=0.1)
    assert not caught.value.may_have_run


async def test_lost_answer_counts_when_the_next_connection_is_refused(finder, unreachable_peer):
    """Guards against "not run" for a request whose first answer was lost and that could not be sent again."""
    clients = iter([AnsweringClient(PeerUnreachableError("reset")), unreachable_peer])
    finder.directory.client = lambda _: next(clients)
    finder.set_leader("a")
    asyncio.get_running_loop().call_later(0.05, finder.set_leader, "b")
    with pytest.raises(UnansweredError) as caught:
        await Relay(finder=finder).send(REQUEST, timeout_s=0.3)
    assert caught.value.may_have_run


async def test_success_after_a_lost_answer_is_returned(finder):
    """Guards against a caller who is told that the outcome is unknown although the repeated request succeeded."""
    client = AnsweringClient(PeerUnreachableError("reset"), RelayedReply(status=200))
    finder.directory.client = lambda _: client
    finder.set_leader("a")
    asyncio.get_running_loop().call_later(0.05, finder.set_leader, "a")
    assert (await Relay(finder=finder).send(REQUEST, timeout_s=1.0)).status == 200


@pytest.mark.parametrize("data", [b"", b"{}", b"[1, 2]\n", b"[" * 100_000, b'["200", {}, ""]\n'])
async def test_malformed_reply_counts_as_none(finder, data):
    """Guards against a malformed reply that ends the request with an unexpected error."""

    class Client:
        async def exchange(self, *, topic, data, timeout_s):
            return reply

    reply = data
    finder.directory.client = lambda _: Client()
    finder.set_leader("a")
    with pytest.raises(UnansweredError) as caught:
        await Relay(finder=finder).send(REQUEST, timeout_s=0.1)
    assert caught.value.may_have_run


@pytest.mark.parametrize(
    "answer", [b"{}", b'{"members": [["x"]], "leads": true, "leader": ""}', b'{"members": [], "leader": 3}']
)
async def test_malformed_answer_names_no_node(finder, answer):
    """Guards against a malformed answer of one node that stops the search for the leader, or adds a node."""

    class Client:
        async def exchange(self, *, topic, data, timeout_s):
            return answer

    finder.directory.client = lambda _: Client()
    await finder._query("a")
    assert list(finder.known_hosts) == ["a", "b"]
    assert finder.leader == ""


@pytest.mark.parametrize(
    ("values", "limits"),
    [
        (None, DocumentLimits()),
        ({}, DocumentLimits()),
        ({"max_body_bytes": 5, "later": 1}, DocumentLimits(max_body_bytes=5)),
        ({"max_body_bytes": 0, "head_timeout_ms": True, "idle_timeout_ms": "5"}, DocumentLimits()),
        (
            {"max_head_bytes": 1, "head_timeout_ms": 1},
            DocumentLimits(max_head_bytes=1024, head_timeout_ms=100),
        ),
        (DocumentLimits(max_body_bytes=7).encode(), DocumentLimits(max_body_bytes=7)),
    ],
)
def test_odd_limits_keep_their_defaults(values, limits):
    """Guards against limits that end the search for the leader, or under which no request can replace the document."""
    assert DocumentLimits.decode(values) == limits

"""Requests that are passed to a leader that may change or be silent."""

from __future__ import annotations

import pytest

from hyssopway.clock import monotonic_s
from hyssopway.peer import PeerUnreachableError
from hyssopway.relay import LeaderFinder, Relay, RelayedReply, RelayedRequest, UnansweredError

REQUEST = RelayedRequest(entry="callers", method="POST", path="/a", host="h", credential="", body=b"")


class FakeNodes:
    """Nodes that answer as told, in place of a directory."""

    def __init__(self):
        self.answers = {}
        self.asked = []

    def client(self, host):
        nodes = self

        class Client:
            async def exchange(self, *, topic, data, timeout_s):
                nodes.asked.append(host)
                answer = nodes.answers[host]
                if isinstance(answer, Exception):
                    raise answer
                return answer.encode()

        return Client()


@pytest.fixture
def nodes():
    return FakeNodes()


@pytest.fixture
def finder(nodes):
    return LeaderFinder(directory=nodes, seed_hosts=("a", "b"), clock=monotonic_s)


async def test_answer_of_the_leader_is_returned(nodes, finder):
    """Guards against an answer that does not reach its caller."""
    nodes.answers["a"] = RelayedReply(status=200, body=b"{}")
    finder.note_leader("a")
    assert (await Relay(finder=finder).send(REQUEST, timeout_s=1.0)).status == 200


async def test_hint_of_a_former_leader_is_followed(nodes, finder):
    """Guards against requests that stay with a node that leads no more."""
    nodes.answers = {"a": RelayedReply(status=0, leader="b"), "b": RelayedReply(status=200)}
    finder.note_leader("a")
    assert (await Relay(finder=finder).send(REQUEST, timeout_s=1.0)).status == 200
    assert nodes.asked == ["a", "b"]


async def test_request_without_a_leader_has_not_run(finder):
    """Guards against a refusal that leaves open whether the request ran."""
    with pytest.raises(UnansweredError) as caught:
        await Relay(finder=finder).send(REQUEST, timeout_s=0.1)
    assert not caught.value.may_have_run


async def test_request_that_a_leader_may_have_taken_is_said_so(nodes, finder):
    """Guards against a false statement that a request has not run."""
    nodes.answers["a"] = PeerUnreachableError("a did not answer")
    finder.note_leader("a")
    with pytest.raises(UnansweredError) as caught:
        await Relay(finder=finder).send(REQUEST, timeout_s=0.1)
    assert caught.value.may_have_run

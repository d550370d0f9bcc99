"""A group of control nodes in one process, on loopback addresses."""

from __future__ import annotations

import asyncio
import socket
from dataclasses import replace

import capnp
import pytest
from expression import Error
from pydantic_core import from_json, to_json

from dispatch.conftest import LIMITS
from hyssopway.clock import monotonic_s
from hyssopway.dispatch import LeaderController
from hyssopway.node import ControlNode, NodeSettings, dump_control_node
from hyssopway.relay import SUPPORTED_VERSION, RelayedReply, RelayedRequest, UnansweredError
from hyssopway.result import Failure, ResultCode, WorkState
from hyssopway.workflow import CURRENT_VERSION, PutDocument, SetZoneEvacuated, TaskId
from workflow.conftest import make_document, make_vm, make_workflow

HOSTS = ("127.0.1.1", "127.0.1.2", "127.0.1.3")
REQUEST = RelayedRequest(entry="control", method="POST", path="/zone", host="", credential="", body=b"")


class ZoneService:
    """A service that commits one change for each request."""

    async def answer(self, *, request, controller):
        await controller.leadership.propose(SetZoneEvacuated(zone="nashua", evacuated=True))
        return RelayedReply(status=200)


class StateService:
    """A service that answers without a proposal."""

    async def answer(self, *, request, controller):
        return RelayedReply(status=200)


class NoMachines:
    """A machine API that lists no machines."""

    async def list_machines(self):
        return []


def find_port():
    with socket.socket() as probe:
        probe.bind((HOSTS[0], 0))
        return probe.getsockname()[1]


def build_node(host, *, port, folder, is_first_start=True, supported_version=CURRENT_VERSION):
    settings = NodeSettings(
        name=host,
        host=host,
        peer_port=port,
        seed_hosts=HOSTS,
        data_dir=folder / host,
        is_first_start=is_first_start,
        tolerated_losses=1,
        stop_timeout_s=1.0,
    )
    return ControlNode(
        settings=settings,
        service=ZoneService(),
        new_controller=lambda leadership: LeaderController(
            leadership=leadership, calls=None, machines=NoMachines(), advisor=None, limits=LIMITS
        ),
        supported_version=supported_version,
    )


async def wait_until(condition, *, seconds=10.0):
    async with asyncio.timeout(seconds):
        while not condition():  # noqa: ASYNC110  states of three nodes have no common event
            await asyncio.sleep(0.02)


def leaders(nodes):
    return [node for node in nodes if node.controller is not None]


@pytest.fixture
async def group(tmp_path):
    async with capnp.kj_loop():
        port = find_port()
        nodes = [build_node(host, port=port, folder=tmp_path) for host in HOSTS]
        for node in nodes:
            await node.start()
        await wait_until(lambda: len(leaders(nodes)) == 1)
        yield nodes
        for node in nodes:
            await node.stop()


async def test_request_to_any_node_is_replicated_to_all(group):
    """Guards against a node that cannot reach the leader, and against members that do not apply its changes."""
    for node in group:
        assert (await node.serve(REQUEST, timeout_s=5.0)).status == 200
    await wait_until(lambda: all("nashua" in node.state.tables.evacuated for node in group))


async def test_relayed_requests_of_all_nodes_are_bounded_at_the_leader(group):
    """Guards against a leader that runs out of memory by requests which each node keeps within its own bound."""
    (leader,) = leaders(group)
    follower = next(node for node in group if node is not leader)
    large = replace(REQUEST, body=b"x" * 100_000)
    assert (await follower.serve(large, timeout_s=5.0)).status == 200
    leader.memory.begin(leader.memory.max_in_progress_bytes)
    reply = await follower.serve(large, timeout_s=5.0)
    assert (reply.status, reply.headers["Retry-After"]) == (503, "1")
    assert (await follower.serve(REQUEST, timeout_s=5.0)).status == 200
    leader.memory.end(leader.memory.max_in_progress_bytes)
    assert (await follower.serve(large, timeout_s=5.0)).status == 200
    assert leader.memory.in_progress_bytes == 0


async def test_leader_that_nobody_confirms_answers_nothing_from_its_state(group, monkeypatch):
    """Guards against a leader that answers from stale keys and jobs after its process was paused."""
    (old,) = leaders(group)
    old.service = StateService()
    assert (await old.answer(REQUEST)).status == 200
    monkeypatch.setattr(old.member, "quorum_acked_at", lambda: float("-inf"))

    async def confirm_nothing(*, timeout_s):
        return Error(Failure(code=ResultCode.NO_QUORUM, message="no quorum confirms the leader"))

    monkeypatch.setattr(old.member, "read_index", confirm_nothing)
    assert (await old.answer(REQUEST)).status == 0


async def test_change_without_a_confirmed_commit_may_have_run(group, monkeypatch):
    """Guards against "not run" for a change that this leader proposed and that may still be committed."""
    (old,) = leaders(group)

    async def commit_unconfirmed(*, data, timeout_s):
        failure = Failure(
            code=ResultCode.OUTCOME_UNKNOWN, message="not confirmed", work=WorkState.MAY_HAVE_RUN
        )
        return Error(failure)

    monkeypatch.setattr(old.member, "propose", commit_unconfirmed)
    reply = await old.answer(REQUEST)
    assert (reply.status, reply.may_have_run) == (0, True)
    with pytest.raises(UnansweredError) as caught:
        await old.serve(REQUEST, timeout_s=0.1)
    assert caught.value.may_have_run


async def test_dump_holds_the_whole_state_without_keys(group):
    """Guards against a dump that cannot be encoded, is incomplete, or discloses the keys of teams."""
    (leader,) = leaders(group)
    await leader.controller.leadership.propose(PutDocument(document=make_document()))
    await leader.controller.leadership.propose(make_vm("vm-1"))
    await leader.controller.leadership.propose(make_workflow("w"))
    await wait_until(lambda: "vm-1" in leader.controller.links)
    task = TaskId("w", 0, 0, 0)
    leader.controller.ratings.record_end(
        vm="vm-1", task=task, run_key="w.0.0.0/1", is_done=False, duration_s=None, now=0.0
    )
    for node in group:
        await wait_until(lambda node=node: "w" in node.state.tables.workflows)
        dump = to_json(dump_control_node(node), inf_nan_mode="null")
        assert b"key-1" not in dump
        read = from_json(dump)
        assert set(read["agreed_state"]["workflows"]) == {"w"}
        assert (read["leader"] is not None) == (node is leader)
        if node is leader:
            link = read["leader"]["links"]["vm-1"]
            assert (link["rating"], link["evidence"]["runs"]) == ("preferred", [[list(task), False]])
        assert len(read["agreement"]["configuration"]["voters"]) == len(HOSTS)


async def test_resigning_leader_is_replaced_before_the_election_timeout(group):
    """Guards against a planned stop after which there is no leader for an election timeout."""
    (old,) = leaders(group)
    await old.resign_leadership()
    others = [node for node in group if node is not old]
    await wait_until(lambda: bool(leaders(others)))
    await wait_until(lambda: old.controller is None)
    assert (await old.serve(REQUEST, timeout_s=5.0)).status == 200


async def replace_follower(group, *, folder, supported_version=CURRENT_VERSION):
    """Stops a node that does not lead, and starts one on its address with an empty disk."""
    (leader,) = leaders(group)
    lost = next(node for node in group if node is not leader)
    await lost.stop()
    group.remove(lost)
    for node in group:
        # In a real stop, the connections would end with the process.
        node.directory.client(lost.settings.host).close()
    fresh = build_node(
        lost.settings.host,
        port=lost.settings.peer_port,
        folder=folder,
        is_first_start=False,
        supported_version=supported_version,
    )
    if not supported_version:
        del fresh.peer_server.handlers.exchange_handlers[SUPPORTED_VERSION]
    await fresh.start()
    group.append(fresh)
    return lost, fresh


async def test_node_that_lost_its_disk_joins_under_a_new_member_id(group, tmp_path):
    """Guards against a node with an empty disk that votes under its former member id."""
    lost, fresh = await replace_follower(group, folder=tmp_path / "new")
    old_id = lost.member.member_id
    await wait_until(lambda: fresh.member.is_voter)
    assert fresh.member.member_id != old_id

    def confirmed_leaders():
        return [node for node in leaders(group) if monotonic_s() - node.member.quorum_acked_at() < 1.0]

    # All members share one process, so a pause of it may have ended the term in which the node joined.
    await wait_until(confirmed_leaders)
    assert all(old_id not in node.member.configuration.members for node in confirmed_leaders())


async def test_gauge_and_dump_show_the_version_of_the_state(group):
    """Guards against operators who cannot tell whether a release that knows no version may still be started."""
    await wait_until(lambda: all(node.read_gauges()["state_version"] == CURRENT_VERSION for node in group))
    for node in group:
        dump = dump_control_node(node)
        assert dump["agreed_state"]["version"] == CURRENT_VERSION
        assert (dump["gauges"]["halted"], dump["gauges"]["unsupported_members"]) == (0.0, 0)


async def test_node_of_an_earlier_release_does_not_join(group, tmp_path):
    """Guards against a node that applies the commands of a later version by the rules of its own release."""
    (leader,) = leaders(group)
    await wait_until(lambda: leader.state.tables.version == CURRENT_VERSION)
    _, fresh = await replace_follower(group, folder=tmp_path / "new", supported_version=0)
    await wait_until(lambda: leader.read_gauges()["unsupported_members"] == 1)
    await asyncio.sleep(1.0)
    assert fresh.member.member_id not in leader.member.configuration.members
    assert fresh.member.applied_index == 0

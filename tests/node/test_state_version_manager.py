"""Raising the version of the state in groups whose members are of two releases."""

from __future__ import annotations

import asyncio

import pytest

from agreement.group import NAMES, Group, RecordingStateMachine, name_of, wait_until
from agreement.test_membership import change
from hyssopway.agreement import AddLearner, RemoveMember
from hyssopway.node.membership_manager import MembershipManager
from hyssopway.node.state_version_manager import StateVersionManager
from hyssopway.workflow import (
    PutDocument,
    RunStart,
    SetStateVersion,
    StartRuns,
    Step,
    WorkflowState,
    encode_command,
)
from workflow.conftest import make_document, make_vm, make_workflow


class WorkflowStateMachine(RecordingStateMachine):
    """Applies the entries to a workflow state and records them.

    One of an earlier release knows no `SetStateVersion` and skips it, as the releases before the first version do.
    """

    def __init__(self, *, is_earlier):
        super().__init__(is_earlier=is_earlier)
        self.state = WorkflowState()

    def apply(self, *, index, data):
        outcome = super().apply(index=index, data=data)
        self.state.apply(index=index, data=b"" if self.is_earlier and b'"state_version"' in data else data)
        return outcome


class VersionedGroup(Group):
    """A group of members with a workflow state, whose leader may raise the version.

    Attributes:
        versions: Manager of the version, by member.
        managers: Manager of the members, by member.
    """

    def __init__(self, *, folder):
        super().__init__(folder=folder)
        self.versions = {}
        self.managers = {}

    def new_state_machine(self, name):
        return WorkflowStateMachine(is_earlier=not self.supported_versions.get(name, 0))

    def start(self, *names, **options):
        super().start(*names, **options)
        for name in names:
            node = self.nodes[name]
            self.versions[name] = StateVersionManager(member=node.member, state=node.state_machine.state)
            self.managers[name] = MembershipManager(
                member=node.member, versions=self.versions[name], tolerated_losses=2
            )
            loops = (self.versions[name].run(), self.managers[name].run())
            node.tasks += [asyncio.create_task(loop) for loop in loops]

    def versions_in_force(self):
        return {name: node.state_machine.state.tables.version for name, node in self.nodes.items()}

    def tables(self, name):
        return self.nodes[name].state_machine.state.encode_snapshot()

    async def wait_for_reports(self):
        leader = await self.wait_for_leader()
        progress = leader.member.progress.values()
        await wait_until(lambda: all(one.supported_version is not None for one in progress))
        return leader

    async def raise_once(self):
        """Waits until the version is 1 on all members, and checks that it was raised by one entry."""
        await wait_until(lambda: set(self.versions_in_force().values()) == {1})
        commands = await self.wait_until_converged()
        assert commands.count(encode_command(SetStateVersion(version=1))) == 1


@pytest.fixture
async def group(tmp_path):
    """A group whose members have not started yet."""
    prepared = VersionedGroup(folder=tmp_path)
    prepared.supported_versions = dict.fromkeys(NAMES, 1)
    yield prepared
    await prepared.stop()


async def test_version_is_raised_once_when_all_members_support_it(group):
    """Guards against a version that is never raised, or raised again and again."""
    group.start(*NAMES)
    await group.raise_once()
    await asyncio.sleep(0.6)
    await group.raise_once()


async def test_member_of_an_earlier_release_keeps_the_version_until_it_is_replaced(group):
    """Guards against a rule that takes effect while a member of the group does not know it."""
    group.supported_versions["e"] = 0
    group.start(*NAMES)
    await group.wait_for_reports()
    await asyncio.sleep(1.0)
    assert set(group.versions_in_force().values()) == {0}
    await group.stop("e")
    group.supported_versions["e"] = 1
    group.start("e")
    await group.raise_once()


async def test_silent_member_keeps_the_version_until_it_is_removed(group):
    """Guards against a version that is raised while a member that may be of an earlier release is away."""
    group.start(*NAMES[:4])
    await group.wait_for_leader()
    await asyncio.sleep(1.5)
    assert set(group.versions_in_force().values()) == {0}
    assert (await change(group, RemoveMember(member_id="e/0"))).is_ok()
    await group.raise_once()


async def test_member_that_fell_silent_after_its_report_keeps_the_version(group):
    """Guards against a report that counts although its process may have been replaced since."""
    group.start(*NAMES)
    leader = await group.wait_for_reports()
    versions = group.versions[name_of(leader)]
    assert versions.find_common_version() == 1
    group.partition(next(name for name in NAMES if name != name_of(leader)))
    await asyncio.sleep(1.2)
    assert versions.find_common_version() == 0


async def test_new_leader_counts_the_reports_of_its_own_term(group):
    """Guards against a new leader that relies on what a former one was told."""
    group.supported_versions["e"] = 0
    group.start(*NAMES)
    old = await group.wait_for_reports()
    assert group.versions[name_of(old)].find_common_version() == 0
    await group.stop(name_of(old), *(["e"] if name_of(old) != "e" else []))
    await group.wait_for_leader()
    await asyncio.sleep(0.8)
    assert set(group.versions_in_force().values()) == {0}
    group.supported_versions["e"] = 1
    group.start(*(name for name in NAMES if name not in group.nodes))
    await group.raise_once()


@pytest.mark.parametrize(
    "is_replicated", [False, True], ids=["held by the leader only", "held by a majority"]
)
async def test_leader_that_changes_while_a_raise_is_in_flight_keeps_the_members_alike(group, is_replicated):
    """Guards against a version that some members have after a change of leader and others don't."""
    group.supported_versions["e"] = 0
    group.start(*NAMES)
    old = await group.wait_for_reports()
    name = name_of(old)
    others = [other for other in NAMES if other != name]
    group.blocked_links |= {(other, name) for other in others}  # replies are lost
    if not is_replicated:
        group.blocked_links |= {(name, other) for other in others}
    raising = asyncio.create_task(
        old.member.propose(data=encode_command(SetStateVersion(version=1)), timeout_s=0.5)
    )
    await asyncio.sleep(0.1)
    await raising
    assert old.state_machine.state.tables.version == 0
    await group.stop(name)
    group.blocked_links.clear()
    await group.write(encode_command(PutDocument(document=make_document())), among=tuple(others))
    group.start(name)
    await group.wait_until_converged()
    versions = group.versions_in_force()
    del versions[
        "e"
    ]  # its release skips the command; it is in the group only to keep the leaders from raising the version
    assert set(versions.values()) == {int(is_replicated)}


async def test_members_that_report_a_version_and_one_that_does_not_reach_the_same_tables(group):
    """Guards against a member of the new release that applies later rules before all know them."""
    group.supported_versions["e"] = 0
    group.start(*NAMES)
    await group.wait_for_reports()
    commands = [
        PutDocument(document=make_document()),
        make_vm("vm-1"),
        make_workflow("w", steps=(Step(count=2, cpu_millis=1000),)),
        *(
            StartRuns(fencing_token=1, starts=(RunStart(task=f"w.0.0.{number}", run=1, vm="vm-1"),))
            for number in range(2)
        ),
    ]
    for command in commands:
        await group.write(encode_command(command))
    await group.wait_until_converged()
    assert len({group.tables(name) for name in NAMES}) == 1


async def test_member_that_supports_less_is_not_added(group):
    """Guards against a new member whose state differs from the others from its first command on."""
    group.start(*NAMES[:4])
    assert (await change(group, RemoveMember(member_id="e/0"))).is_ok()
    await group.raise_once()
    leader = await group.wait_for_leader()
    manager = group.managers[name_of(leader)]
    for version in (0, 0, None):
        manager.record_join_request("e/1", supported_version=version)
        await asyncio.sleep(0.6)
        assert "e/1" not in leader.member.configuration.members
        assert manager.unsupported == ({"e/1"} if version == 0 else set())
    manager.record_join_request("e/1", supported_version=1)
    await wait_until(lambda: "e/1" in leader.member.configuration.members)


async def test_member_that_supports_less_is_not_added_while_a_raise_is_in_flight(group):
    """Guards against a new member that is added by the entry after the one that raises the version."""
    group.supported_versions["e"] = 0
    group.start(*NAMES)
    leader = await group.wait_for_reports()
    assert (await change(group, RemoveMember(member_id="d/0"))).is_ok()
    versions, manager = (part[name_of(leader)] for part in (group.versions, group.managers))
    versions.proposed_term, versions.proposed_version = leader.member.term, 1
    manager.record_join_request("d/1", supported_version=None)
    await asyncio.sleep(0.6)
    assert "d/1" not in leader.member.configuration.members
    versions.proposed_term -= 1  # what was proposed in an earlier term is in the log by now, or will never be
    manager.record_join_request("d/1", supported_version=None)
    await wait_until(lambda: "d/1" in leader.member.configuration.members)


async def test_learner_that_supports_less_is_not_promoted(group):
    """Guards against a voter, and a later leader, whose state differs from that of the others."""
    group.start(*NAMES)
    await group.raise_once()
    assert (await change(group, RemoveMember(member_id="e/0"))).is_ok()
    await group.stop("e")
    for manager in group.managers.values():
        manager.wanted_voters = 4
    group.supported_versions["e"] = 0
    group.start("e", initial=False, subfolder="-new")
    learner = group.nodes["e"].member.member_id
    assert (await change(group, AddLearner(member_id=learner))).is_ok()
    leader = await group.wait_for_reports()
    manager = group.managers[name_of(leader)]
    manager.wanted_voters = 5
    await asyncio.sleep(1.0)
    assert learner in leader.member.configuration.learners
    assert manager.unsupported == {learner}
    await group.stop("e")
    group.supported_versions["e"] = 1
    group.start("e", initial=False, subfolder="-new")
    await wait_until(lambda: learner in leader.member.configuration.voters)
    assert manager.unsupported == set()
    await group.raise_once()

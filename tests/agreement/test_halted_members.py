"""Members whose release does not support the version of the replicated state."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from .group import LATER_VERSION, NAMES, Group, name_of, wait_until

if TYPE_CHECKING:
    from pathlib import Path


async def test_halted_member_applies_nothing_and_does_not_lead(tmp_path: Path):
    """Guards against a member that skips a command which the others apply, and then leads with its own state."""
    group = Group(folder=tmp_path)
    group.earlier_releases = {"d", "e"}
    group.start(*NAMES)
    await group.write(b"before")
    await group.write(LATER_VERSION)
    halted = [group.nodes[name].member for name in "de"]
    await wait_until(lambda: all(member.is_halted for member in halted))
    await group.write(b"after")
    for _ in range(2):
        leader = name_of(await group.wait_for_leader())
        assert leader not in "de"
        await group.stop(leader)
        group.start(leader)
    assert all(group.nodes[name].state_machine.commands == [b"before"] for name in "de")
    for name in "abc":
        await wait_until(lambda name=name: group.nodes[name].state_machine.commands[-1:] == [b"after"])
        assert LATER_VERSION in group.nodes[name].state_machine.commands
    await group.stop()


async def test_halted_members_still_form_the_quorum(tmp_path: Path):
    """Guards against a group that stops for one more loss because a member waits for a later release."""
    group = Group(folder=tmp_path)
    group.earlier_releases = {"d", "e"}
    group.start(*NAMES)
    await group.write(LATER_VERSION)
    await wait_until(lambda: group.nodes["d"].member.is_halted and group.nodes["e"].member.is_halted)
    await group.stop("a", "b")
    await group.write(b"with one that applies", among=("c",))
    await group.stop()


async def test_group_of_halted_members_has_no_leader(tmp_path: Path):
    """Guards against a leader that cannot apply what it commits."""
    group = Group(folder=tmp_path)
    group.start(*NAMES)
    await group.write(LATER_VERSION)
    await group.wait_until_converged()
    await group.stop()
    group.earlier_releases = set(NAMES)
    group.start(*NAMES)
    # Each in turn is elected, commits the entry and cannot apply it.
    await wait_until(lambda: all(node.member.is_halted for node in group.nodes.values()), timeout_s=15)
    await asyncio.sleep(2 * group.timers.election_max_s)
    assert not any(node.member.is_leader for node in group.nodes.values())
    assert not any(node.state_machine.commands for node in group.nodes.values())
    await group.stop()


async def test_member_halts_on_a_snapshot_of_a_later_version_and_keeps_it_for_a_later_release(tmp_path: Path):
    """Guards against a snapshot that is sent again and again, and against a member that leads without its content."""
    group = Group(folder=tmp_path, snapshot_entries=20)
    group.start(*NAMES)
    await group.write(b"first")
    await group.wait_until_converged()
    leader = name_of(await group.wait_for_leader())
    behind = next(name for name in NAMES if name != leader)
    await group.stop(behind)
    await group.write(LATER_VERSION)
    for number in range(40):
        await group.write(b"%d" % number)
    await wait_until(lambda: all(node.store.snapshot.index >= 20 for node in group.nodes.values()))
    group.earlier_releases = {behind}
    group.start(behind)
    member = group.nodes[behind].member
    await wait_until(lambda: member.is_halted)
    assert group.nodes[behind].state_machine.commands in ([], [b"first"])
    await wait_until(lambda: member.store.snapshot.index >= 20)
    await group.stop(behind)
    group.start(behind)  # the release before still finds the snapshot
    assert group.nodes[behind].member.is_halted
    await group.stop(behind)
    group.earlier_releases = set()
    group.start(behind)
    assert len(await group.wait_until_converged()) == 42
    await group.stop()


async def test_snapshot_that_cannot_be_loaded_once_is_sent_again(tmp_path: Path):
    """Guards against a member that takes entries for committed whose effect it has not loaded, and never catches up."""
    group = Group(folder=tmp_path, snapshot_entries=20)
    group.start(*NAMES)
    await group.write(b"first")
    await group.wait_until_converged()
    leader = name_of(await group.wait_for_leader())
    behind = next(name for name in NAMES if name != leader)
    await group.stop(behind)
    for number in range(40):
        await group.write(b"%d" % number)
    await wait_until(lambda: all(node.store.snapshot.index >= 20 for node in group.nodes.values()))
    group.start(behind)
    state_machine = group.nodes[behind].state_machine
    restore = state_machine.restore_snapshot
    # As the leader sees it: the error of a handler reaches the caller of a real connection as one of the connection.
    failures = [ConnectionError("damaged on its way")]

    def fail_once(data: bytes) -> None:
        if failures:
            raise failures.pop()
        restore(data)

    state_machine.restore_snapshot = fail_once  # type: ignore[method-assign]
    assert len(await group.wait_until_converged()) == 41
    assert not failures
    await group.stop()

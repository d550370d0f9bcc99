"""Versions of the replicated state that the members report to the leader."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from hyssopway.agreement import AddLearner, RemoveMember, dump_member

from .group import NAMES, Group, name_of, wait_until
from .test_membership import change

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from pathlib import Path

    from .group import Node


@pytest.fixture
async def mixed_group(tmp_path: Path) -> AsyncIterator[Group]:
    """Five running members; `e` is of a release that has no versions."""
    prepared = Group(folder=tmp_path)
    prepared.supported_versions = dict.fromkeys(NAMES[:4], 1)
    prepared.start(*NAMES)
    yield prepared
    await prepared.stop()


def reports(node: Node) -> dict[str, int | None]:
    return {key: progress.supported_version for key, progress in node.member.progress.items()}


async def test_leader_learns_the_version_of_each_member(mixed_group: Group):
    """Guards against a leader that takes a member of an earlier release, or one that did not reply, for a current one."""
    leader = await mixed_group.wait_for_leader()
    await wait_until(lambda: None not in reports(leader).values())
    expected = {f"{name}/0": int(name != "e") for name in NAMES if name != name_of(leader)}
    assert reports(leader) == expected
    assert dump_member(leader.member)["supported_versions"] == expected


async def test_new_leader_knows_no_version_before_the_replies_of_its_term(mixed_group: Group):
    """Guards against a new leader that counts a report from a term before, of a process that ended since."""
    old = await mixed_group.wait_for_leader()
    await wait_until(lambda: None not in reports(old).values())
    silent = next(name for name in NAMES if name != name_of(old))
    mixed_group.partition(silent)
    await mixed_group.stop(name_of(old))
    new = await mixed_group.wait_for_leader()
    await wait_until(lambda: list(reports(new).values()).count(None) == 2)
    assert reports(new)[f"{silent}/0"] is reports(new)[old.member.member_id] is None


async def test_member_that_is_added_again_has_not_reported(mixed_group: Group):
    """Guards against a report of a lost member that counts for its replacement."""
    leader = await mixed_group.wait_for_leader()
    await wait_until(lambda: None not in reports(leader).values())
    lost = next(name for name in NAMES if name != name_of(leader))
    await mixed_group.stop(lost)
    assert (await change(mixed_group, RemoveMember(member_id=f"{lost}/0"))).is_ok()
    assert (await change(mixed_group, AddLearner(member_id=f"{lost}/1"))).is_ok()
    leader = await mixed_group.wait_for_leader()
    assert reports(leader)[f"{lost}/1"] is None


async def test_latest_report_of_a_member_counts(mixed_group: Group):
    """Guards against a leader that relies on a report of a process which was replaced by one of an earlier release."""
    leader = await mixed_group.wait_for_leader()
    await wait_until(lambda: None not in reports(leader).values())
    name = next(name for name in NAMES[:4] if name != name_of(leader))
    assert reports(leader)[f"{name}/0"] == 1
    await mixed_group.stop(name)
    mixed_group.supported_versions[name] = 0
    mixed_group.start(name)
    await wait_until(lambda: reports(leader)[f"{name}/0"] == 0)
    await asyncio.sleep(0.2)
    assert reports(leader)[f"{name}/0"] == 0

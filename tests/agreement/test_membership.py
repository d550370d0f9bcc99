"""Membership changes, one at a time."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Any

import pytest

from hyssopway.agreement import AddLearner, PromoteLearner, RemoveMember
from hyssopway.result import ResultCode

from .group import NAMES, name_of, wait_until

if TYPE_CHECKING:
    from hyssopway.agreement import MemberChange

    from .group import Group

REFUSALS: list[tuple[MemberChange, ResultCode]] = [
    (AddLearner(member_id="a/other"), ResultCode.MEMBER_EXISTS),
    (AddLearner(member_id="a/0"), ResultCode.MEMBER_EXISTS),
    (PromoteLearner(member_id="f/1"), ResultCode.UNKNOWN_MEMBER),
    (RemoveMember(member_id="f/1"), ResultCode.UNKNOWN_MEMBER),
]


async def change(group: Group, wanted: MemberChange, *, timeout_s: float = 8.0) -> Any:
    """Requests a change; retries while another is in progress or the learner has not caught up."""
    deadline = time.monotonic() + timeout_s
    while True:
        leader = await group.wait_for_leader()
        result = await leader.member.change_members(wanted, timeout_s=2)
        waits = result.is_error() and result.error.code in (
            ResultCode.MEMBERSHIP_BUSY,
            ResultCode.NOT_CAUGHT_UP,
        )
        if not waits or time.monotonic() > deadline:
            return result
        await asyncio.sleep(0.05)


@pytest.mark.parametrize(("wanted", "code"), REFUSALS, ids=lambda value: str(value)[:30])
async def test_invalid_change_is_refused(group: Group, wanted: MemberChange, code: ResultCode):
    """Guards against two members on one daemon, and against promoting or removing unknown members."""
    result = await change(group, wanted)
    assert result.error.code is code
    assert result.error.work == "not_run"


async def test_second_change_waits_for_the_first(group: Group):
    """Guards against two overlapping changes whose quorums need not intersect."""
    leader = await group.wait_for_leader()
    await wait_until(lambda: all(p.match_index for p in leader.member.progress.values()))
    changes = (RemoveMember(member_id=f"{n}/0") for n in NAMES if n != name_of(leader))
    results = await asyncio.gather(*(leader.member.change_members(c, timeout_s=2) for c in changes))
    failed = [result.error.code for result in results if result.is_error()]
    assert failed == [ResultCode.MEMBERSHIP_BUSY] * 3
    assert len(leader.member.configuration.voters) == 4


async def test_removal_right_after_an_election_waits_for_the_rest_to_answer(group: Group):
    """Guards against a removal after which no quorum of the remaining voters is known to be reachable.

    A new leader of five may commit its first entry with two of four replies. If one of the two members that replied is
    removed, only two of the four remaining voters are known to be reachable.
    """
    leader = await group.wait_for_leader()
    others = list(leader.member.progress.values())
    await wait_until(lambda: all(p.match_index for p in others))
    for progress in others[2:]:
        progress.acked_at = float("-inf")
    refused = await leader.member.change_members(RemoveMember(member_id=others[0].member_id), timeout_s=2)
    assert refused.error.code is ResultCode.NO_QUORUM
    assert (refused.error.work, refused.error.retry_after_s) == ("not_run", 1.0)
    await wait_until(lambda: all(p.acked_at > 0 for p in others))
    assert (
        await leader.member.change_members(RemoveMember(member_id=others[0].member_id), timeout_s=2)
    ).is_ok()


async def test_new_leader_changes_members_only_after_its_first_commit(group: Group):
    """Guards against a change that follows an uncommitted change of an earlier leader."""
    leader = await group.wait_for_leader()
    leader.member.commit_index = leader.member.term_start_index - 1
    result = await leader.member.change_members(RemoveMember(member_id="a/0"), timeout_s=1)
    assert result.error.code is ResultCode.MEMBERSHIP_BUSY


async def test_lost_member_is_replaced_and_two_more_losses_follow(group: Group):
    """Guards against a group that loses its quorum when more members fail right after one was replaced."""
    for number in range(300):
        if number % 100 == 0:
            await group.write(b"%d" % number)
    leader = await group.wait_for_leader()
    lost = next(name for name in NAMES if name != name_of(leader))
    await group.stop(lost)
    group.start(lost, initial=False, subfolder="-new")
    replacement = group.nodes[lost].member.member_id
    assert (await change(group, AddLearner(member_id=replacement))).error.code is ResultCode.MEMBER_EXISTS
    assert (await change(group, RemoveMember(member_id=f"{lost}/0"))).is_ok()
    assert (await change(group, AddLearner(member_id=replacement))).is_ok()
    assert (await change(group, AddLearner(member_id=replacement))).is_ok()
    assert (await change(group, PromoteLearner(member_id=replacement))).is_ok()
    assert len(await group.wait_until_converged()) == 3
    rest = [name for name in NAMES if name not in (lost, name_of(await group.wait_for_leader()))]
    await group.stop(*rest[:2])
    await group.write(b"with three of five")
    assert group.nodes[lost].member.is_voter


async def test_lagging_learner_is_not_promoted(group: Group):
    """Guards against a new voter that lags too far to help commit entries."""
    leader = await group.wait_for_leader()
    group.start("f", initial=False)
    learner = group.nodes["f"].member.member_id
    assert (await change(group, AddLearner(member_id=learner))).is_ok()
    group.blocked_links |= {(name, "f") for name in NAMES}
    await asyncio.gather(*(leader.member.propose(data=b"%d" % n, timeout_s=3) for n in range(150)))
    result = await leader.member.change_members(PromoteLearner(member_id=learner), timeout_s=1)
    assert result.error.code is ResultCode.NOT_CAUGHT_UP
    group.blocked_links.clear()
    assert (await change(group, PromoteLearner(member_id=learner))).is_ok()
    assert len(await group.wait_until_converged()) == 150


async def test_removed_leader_steps_down(group: Group):
    """Guards against a leader that keeps leading after it was removed from the group."""
    old = await group.wait_for_leader()
    # A leader commits with two replies but correctly refuses its own removal before a third member has replied.
    await wait_until(lambda: all(progress.acked_at > 0 for progress in old.member.progress.values()))
    assert (
        await old.member.change_members(RemoveMember(member_id=old.member.member_id), timeout_s=2)
    ).is_ok()
    await group.write(b"after", among=tuple(name for name in NAMES if name != name_of(old)))
    assert not old.member.is_leader


async def test_removal_that_would_stop_the_group_is_refused(group: Group):
    """Guards against a removal that can never be committed."""
    leader = await group.wait_for_leader()
    others = [name for name in NAMES if name != name_of(leader)]
    await group.stop(*others[:2])
    await asyncio.sleep(1.5 * leader.member.timers.election_max_s)
    result = await change(group, RemoveMember(member_id=f"{others[3]}/0"))
    assert result.error.code is ResultCode.NO_QUORUM
    assert (await change(group, RemoveMember(member_id=f"{others[0]}/0"))).is_ok()

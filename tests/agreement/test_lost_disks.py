"""Acknowledged entries when disks are lost while all other members lose power."""

from __future__ import annotations

from itertools import combinations

import pytest

from hyssopway.agreement import AddLearner, PromoteLearner, RemoveMember

from .group import NAMES, Group, name_of, wait_until

TOLERATED = 2


def restart_without_disks(group: Group, lost: tuple[str, ...]) -> None:
    """Starts all members again, some with empty folders."""
    group.start(*(name for name in NAMES if name not in lost))
    group.start(*lost, initial=False, subfolder="-new")


@pytest.mark.parametrize("lost", list(combinations(NAMES, TOLERATED))[::3], ids="".join)
async def test_acknowledged_entries_survive_lost_disks_and_a_power_loss(group: Group, lost: tuple[str, str]):
    """Guards against a quorum that counts members with empty disks, and against lost acknowledged entries (LOST)."""
    for number in range(5):
        await group.write(b"%d" % number)
    await group.stop()
    restart_without_disks(group, lost)
    rest = tuple(name for name in NAMES if name not in lost)
    leader = await group.wait_for_leader(among=rest)
    assert not any(group.nodes[name].member.is_voter for name in lost)
    assert len(group.acknowledged) == 5
    await wait_until(lambda: group.confirmed_among(leader.state_machine.commands) == group.acknowledged)
    await group.write(b"after", among=rest)


async def test_members_with_empty_disks_form_no_quorum(group: Group):
    """Guards against a group that starts without its entries when more disks are lost than it tolerates (LOST)."""
    await group.write(b"0")
    await group.stop()
    restart_without_disks(group, NAMES[:3])
    with pytest.raises(AssertionError, match="no leader"):
        await group.wait_for_leader(timeout_s=2.5)


async def test_power_loss_while_a_lost_member_is_replaced(group: Group):
    """Guards against entries that are lost with a second disk while the first one is being replaced (LOST)."""
    await group.write(b"0")
    leader = await group.wait_for_leader()
    first, second = [name for name in NAMES if name != name_of(leader)][:2]
    await group.stop(first)
    group.start(first, initial=False, subfolder="-new")
    replacement = group.nodes[first].member.member_id
    for change in (RemoveMember(member_id=f"{first}/0"), AddLearner(member_id=replacement)):
        leader = await group.wait_for_leader()
        assert (await leader.member.change_members(change, timeout_s=2)).is_ok()
    await group.write(b"1")
    await group.stop()
    group.start(*(name for name in NAMES if name not in (first, second)))
    group.start(first, initial=False, subfolder="-new")
    group.start(second, initial=False, subfolder="-new")
    leader = await group.wait_for_leader()
    assert len(group.acknowledged) == 2
    await wait_until(lambda: group.confirmed_among(leader.state_machine.commands) == group.acknowledged)
    promote = PromoteLearner(member_id=replacement)
    await wait_until(lambda: leader.member.progress[replacement].match_index >= leader.member.commit_index)
    assert (await leader.member.change_members(promote, timeout_s=2)).is_ok()

"""Decides how the group of control members changes.

Answers the load pattern of disks that are lost one after another, of control nodes that are replaced at other
addresses and of nodes that are cut off for a while: a member whose disk is known to be lost is removed first,
a learner that is up to date takes the place of a voter that is silent, and the group has as many voters as the
tolerated losses need.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from hyssopway.agreement import AddLearner, PromoteLearner, RemoveMember, daemon_of

if TYPE_CHECKING:
    from hyssopway.agreement import Configuration, MemberChange

# Longer than a restart; a voter that is replaced too early costs only a snapshot.
REPLACE_SILENT_S = 3.0
FORGET_LEARNER_S = 30.0
ACTIVE_S = 1.0


@dataclass(frozen=True, slots=True, kw_only=True)
class MemberView:
    """A member as the leader sees it.

    Attributes:
        silent_s: Time since its last answer.
        lag: Entries that it lacks.
    """

    silent_s: float
    lag: int


def choose_change(
    *,
    configuration: Configuration,
    joiners: list[str],
    views: dict[str, MemberView],
    wanted_voters: int,
    max_lag: int,
) -> MemberChange | None:
    """Returns the next change of the group, or None when it is as wanted.

    Args:
        configuration: Present members.
        joiners: Ids of members that asked to join a moment ago.
        views: Other members as the leader sees them.
        wanted_voters: Number of voters that tolerates the losses.
        max_lag: Most entries that a learner may lack when it gets a vote.
    """
    for joiner in joiners:
        for member in configuration.members:
            if daemon_of(member) == daemon_of(joiner) and member != joiner:
                return RemoveMember(member_id=member)
    for joiner in joiners:
        if joiner not in configuration.members:
            return AddLearner(member_id=joiner)
    silent = [
        voter for voter in configuration.voters if voter in views and views[voter].silent_s > REPLACE_SILENT_S
    ]
    if silent and len(configuration.voters) > wanted_voters:
        return RemoveMember(member_id=silent[0])
    able = [
        learner
        for learner in configuration.learners
        if learner in views and views[learner].silent_s < ACTIVE_S and views[learner].lag <= max_lag
    ]
    if able and (silent or len(configuration.voters) < wanted_voters):
        return PromoteLearner(member_id=able[0])
    for learner in configuration.learners:
        if learner in views and views[learner].silent_s > FORGET_LEARNER_S:
            return RemoveMember(member_id=learner)
    return None


__all__ = ["MemberView", "choose_change"]

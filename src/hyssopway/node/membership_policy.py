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
REPLACE_AFTER_SILENCE_S = 3.0
REMOVE_LEARNER_AFTER_SILENCE_S = 30.0
MAX_SILENCE_FOR_PROMOTION_S = 1.0


@dataclass(frozen=True, slots=True, kw_only=True)
class MemberStatus:
    """A member as the leader sees it.

    Attributes:
        silent_s: Time since its last answer.
        lag: Entries that it lacks.
    """

    silent_s: float
    lag: int


def choose_membership_change(
    *,
    configuration: Configuration,
    joining_ids: list[str],
    statuses: dict[str, MemberStatus],
    target_voters: int,
    max_lag: int,
) -> MemberChange | None:
    """Returns the next change of the group, or None when it is as wanted.

    Args:
        configuration: Current voters and learners.
        joining_ids: Ids of members that recently requested to join.
        statuses: Status of the other members by id.
        target_voters: Number of voters that tolerates the configured losses.
        max_lag: Maximum number of entries that a learner may lack when it is promoted.
    """
    for joining_id in joining_ids:
        for member in configuration.members:
            if daemon_of(member) == daemon_of(joining_id) and member != joining_id:
                return RemoveMember(member_id=member)
    for joining_id in joining_ids:
        if joining_id not in configuration.members:
            return AddLearner(member_id=joining_id)
    silent = [
        voter
        for voter in configuration.voters
        if voter in statuses and statuses[voter].silent_s > REPLACE_AFTER_SILENCE_S
    ]
    if silent and len(configuration.voters) > target_voters:
        return RemoveMember(member_id=silent[0])
    promotable = [
        learner
        for learner in configuration.learners
        if learner in statuses
        and statuses[learner].silent_s < MAX_SILENCE_FOR_PROMOTION_S
        and statuses[learner].lag <= max_lag
    ]
    if promotable and (silent or len(configuration.voters) < target_voters):
        return PromoteLearner(member_id=promotable[0])
    for learner in configuration.learners:
        if learner in statuses and statuses[learner].silent_s > REMOVE_LEARNER_AFTER_SILENCE_S:
            return RemoveMember(member_id=learner)
    return None


__all__ = ["MemberStatus", "choose_membership_change"]

"""Policy for changes of the members of the group.

Handles disks that are lost one after another, control nodes that are replaced under other addresses, and nodes that
are partitioned for a while: a member whose disk is known to be lost is removed first, an up-to-date learner replaces a
silent voter, and the group keeps as many voters as are needed to tolerate the configured losses.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from hyssopway.agreement import AddLearner, PromoteLearner, RemoveMember, daemon_of

if TYPE_CHECKING:
    from collections.abc import Container

    from hyssopway.agreement import Configuration, MemberChange

# Longer than a restart; a voter that is replaced too early only costs the transfer of a snapshot.
REPLACE_AFTER_SILENCE_S = 3.0
REMOVE_LEARNER_AFTER_SILENCE_S = 30.0
MAX_SILENCE_FOR_PROMOTION_S = 1.0


@dataclass(frozen=True, slots=True, kw_only=True)
class MemberStatus:
    """Status of a member as seen by the leader.

    Attributes:
        silent_s: Seconds since its last reply.
        lag: Number of committed entries that it lacks.
    """

    silent_s: float
    lag: int


def choose_membership_change(
    *,
    configuration: Configuration,
    joiners: list[str],
    views: dict[str, MemberStatus],
    wanted_voters: int,
    max_lag: int,
    unsupported: Container[str] = (),
) -> MemberChange | None:
    """Returns the next change of the members, or None if none is needed.

    Args:
        configuration: Current voters and learners.
        joiners: Ids of members that recently requested to join.
        views: Status of the other members by id.
        wanted_voters: Number of voters that tolerates the losses.
        max_lag: Most entries that a learner may lack when it gets a vote.
        unsupported: Ids of members and joiners that do not support the version of the state; they are neither added nor
            promoted.
    """
    for joiner in joiners:
        for member in configuration.members:
            if daemon_of(member) == daemon_of(joiner) and member != joiner:
                return RemoveMember(member_id=member)
    for joiner in joiners:
        if joiner not in configuration.members and joiner not in unsupported:
            return AddLearner(member_id=joiner)
    silent = [
        voter
        for voter in configuration.voters
        if voter in views and views[voter].silent_s > REPLACE_AFTER_SILENCE_S
    ]
    if silent and len(configuration.voters) > wanted_voters:
        return RemoveMember(member_id=silent[0])
    promotable = [
        learner
        for learner in configuration.learners
        if learner in views
        and learner not in unsupported
        and views[learner].silent_s < MAX_SILENCE_FOR_PROMOTION_S
        and views[learner].lag <= max_lag
    ]
    if promotable and (silent or len(configuration.voters) < wanted_voters):
        return PromoteLearner(member_id=promotable[0])
    for learner in configuration.learners:
        if learner in views and views[learner].silent_s > REMOVE_LEARNER_AFTER_SILENCE_S:
            return RemoveMember(member_id=learner)
    return None


__all__ = ["MemberStatus", "choose_membership_change"]

"""Single-server membership changes.

Follows chapter 4 of Ongaro's thesis: a new configuration takes effect when it is appended, differs from the previous
one by one member, and is appended only after an entry of the leader's own term is committed.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from expression import Error, Ok, Result

from hyssopway.result import Failure, ResultCode

from .configuration import Configuration, daemon_of

if TYPE_CHECKING:
    from .member import Member

# In entries. A learner this close catches up within a heartbeat; a limit of 0 would refuse it under load.
MAX_PROMOTION_LAG = 100


@dataclass(frozen=True, slots=True, kw_only=True)
class AddLearner:
    """Adds a member as a learner, which receives the log but does not vote.

    Attributes:
        member_id: Id of the member.
    """

    member_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class PromoteLearner:
    """Turns a learner into a voter.

    Attributes:
        member_id: Id of the member.
    """

    member_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class RemoveMember:
    """Removes a voter or a learner.

    Attributes:
        member_id: Id of the member.
    """

    member_id: str


MemberChange = AddLearner | PromoteLearner | RemoveMember


def next_configuration(*, member: Member, change: MemberChange) -> Result[Configuration, Failure]:
    """Validates a change and returns the new configuration.

    Returns:
        The new configuration, equal to the current one when there is nothing to do; MEMBERSHIP_BUSY, MEMBER_EXISTS,
        UNKNOWN_MEMBER, NOT_CAUGHT_UP, LAST_VOTER or NO_QUORUM.
    """
    if (
        member.commit_index < member.term_start_index
        or member.store.configuration_index() > member.commit_index
    ):
        message = "another membership change or the first entry of the leader's term is not committed yet"
        return _refuse(ResultCode.MEMBERSHIP_BUSY, message, retry_after_s=1.0)
    match change:
        case AddLearner(member_id=member_id):
            return _add(member.configuration, member_id=member_id)
        case PromoteLearner(member_id=member_id):
            return _promote(member, member_id=member_id)
        case RemoveMember(member_id=member_id):
            return _remove(member, member_id=member_id)


def _add(old: Configuration, *, member_id: str) -> Result[Configuration, Failure]:
    if member_id in old.learners:
        return Ok(old)
    same_daemon = [other for other in old.members if daemon_of(other) == daemon_of(member_id)]
    if same_daemon:
        message = f"{same_daemon[0]} is already a member; if its disk is lost, remove it first"
        return _refuse(ResultCode.MEMBER_EXISTS, message)
    return Ok(Configuration(voters=old.voters, learners=(*old.learners, member_id)))


def _promote(member: Member, *, member_id: str) -> Result[Configuration, Failure]:
    old = member.configuration
    if member_id in old.voters:
        return Ok(old)
    if member_id not in old.learners:
        return _refuse(ResultCode.UNKNOWN_MEMBER, f"{member_id} is not a learner")
    progress = member.progress[member_id]
    lag = member.commit_index - progress.match_index
    silence_s = member.clock() - progress.acked_at
    if lag > MAX_PROMOTION_LAG or silence_s > member.timers.election_max_s:
        message = f"{member_id} lacks {lag} entries and last answered {silence_s:.1f} s ago; try again later"
        return _refuse(ResultCode.NOT_CAUGHT_UP, message, retry_after_s=1.0)
    learners = tuple(learner for learner in old.learners if learner != member_id)
    return Ok(Configuration(voters=(*old.voters, member_id), learners=learners))


def _remove(member: Member, *, member_id: str) -> Result[Configuration, Failure]:
    old = member.configuration
    if member_id not in old.members:
        return _refuse(ResultCode.UNKNOWN_MEMBER, f"{member_id} is not a member")
    new = Configuration(
        voters=tuple(voter for voter in old.voters if voter != member_id),
        learners=tuple(learner for learner in old.learners if learner != member_id),
    )
    if not new.voters:
        return _refuse(ResultCode.LAST_VOTER, f"{member_id} is the last voter")
    oldest_valid_ack = member.clock() - member.timers.election_max_s
    reachable = sum(
        voter == member.member_id or member.progress[voter].acked_at > oldest_valid_ack
        for voter in new.voters
    )
    if reachable < new.quorum:
        # The change could not be committed, and the group would lose its quorum.
        message = f"only {reachable} of the {len(new.voters)} remaining voters are reachable"
        return _refuse(ResultCode.NO_QUORUM, message, retry_after_s=1.0)
    return Ok(new)


def _refuse(
    code: ResultCode, message: str, *, retry_after_s: float | None = None
) -> Result[Configuration, Failure]:
    return Error(Failure(code=code, message=message, retry_after_s=retry_after_s))


__all__ = ["AddLearner", "MemberChange", "PromoteLearner", "RemoveMember", "next_configuration"]

"""Guards the right of a leader to propose commands and send orders during its term."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from expression import Result

from hyssopway.result import WorkState
from hyssopway.workflow import encode_command

if TYPE_CHECKING:
    from hyssopway.agreement import Member
    from hyssopway.clock import Clock
    from hyssopway.workflow import Command, WorkflowState

PROPOSE_TIMEOUT_S = 3.0
# Shorter than the shortest election timeout, so no other leader can be elected while the lease is valid.
LEADER_LEASE_S = 0.3
CONFIRM_TIMEOUT_S = 0.5
APPLIED_CHECK_INTERVAL_S = 0.02


class LeadershipLostError(Exception):
    """This process no longer leads the term, or can't confirm that it does.

    Attributes:
        may_take_effect: Whether a proposed command may still be committed.
    """

    def __init__(self, message: str, *, may_take_effect: bool = False) -> None:
        super().__init__(message)
        self.may_take_effect = may_take_effect


class Leadership:
    """One term of one leader.

    Attributes:
        member: Consensus member that leads.
        state: Replicated state.
        term: Number of the term; also the fencing token of all orders.
        clock: Local monotonic clock, in seconds.
        started_at: Local time at which this process became leader.
    """

    __slots__ = ("clock", "member", "started_at", "state", "term")

    def __init__(self, *, member: Member, state: WorkflowState, clock: Clock) -> None:
        self.member = member
        self.state = state
        self.term = member.term
        self.clock = clock
        self.started_at = clock()

    @property
    def holds(self) -> bool:
        """Whether the member believes that it still leads the term."""
        return self.member.is_leader and self.member.term == self.term

    def may_order(self) -> bool:
        """Returns whether the leader lease is valid, so that no other leader can have been elected yet."""
        return self.holds and self.clock() - self.member.quorum_acked_at() <= LEADER_LEASE_S

    async def confirm(self) -> None:
        """Confirms that no other leader had been elected when this was called.

        After a pause a process continues with the requests that arrived meanwhile. Its state may then lack commands
        that another leader has committed since, such as the revocation of a key.

        Raises:
            LeadershipLostError: No quorum confirmed this leader.
        """
        if self.may_order():
            return
        match await self.member.read_index(timeout_s=CONFIRM_TIMEOUT_S):
            case Result(tag="ok") if self.holds:
                return
            case Result(tag="ok"):
                raise LeadershipLostError(f"term {self.term} has ended")
            case Result(error=failure):
                raise LeadershipLostError(failure.message)

    async def wait_until_applied(self) -> None:
        """Waits until the state has every entry that this leader's log has at present.

        A command whose commit was not confirmed in time may still be committed in the same term. Decisions from a state
        that lacks it could contradict it.

        Raises:
            LeadershipLostError: The term has ended.
        """
        index = self.member.store.last_index
        while self.holds:
            if self.member.applied_index >= index:
                return
            await asyncio.sleep(APPLIED_CHECK_INTERVAL_S)
        raise LeadershipLostError(f"term {self.term} has ended")

    async def propose(self, command: Command) -> None:
        """Commits a command to the replicated log and applies it.

        Raises:
            LeadershipLostError: The commit was not confirmed; the command may still take effect.
        """
        if not self.holds:
            raise LeadershipLostError(f"term {self.term} has ended")
        match await self.member.propose(data=encode_command(command), timeout_s=PROPOSE_TIMEOUT_S):
            case Result(tag="ok"):
                return
            case Result(error=failure):
                raise LeadershipLostError(
                    failure.message, may_take_effect=failure.work is not WorkState.NOT_RUN
                )


__all__ = ["Leadership", "LeadershipLostError"]

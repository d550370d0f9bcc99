"""The right of one leader to decide and to order."""

from __future__ import annotations

from typing import TYPE_CHECKING

from expression import Result

from hyssopway.workflow import encode_command

if TYPE_CHECKING:
    from hyssopway.agreement import Member
    from hyssopway.clock import Clock
    from hyssopway.workflow import Command, WorkflowState

PROPOSE_TIMEOUT_S = 3.0
# Below the shortest election timeout: an order that leaves in time is sent before any other leader is elected.
LEADER_LEASE_S = 0.3
CONFIRM_TIMEOUT_S = 0.5


class LeadershipLostError(Exception):
    """This process no longer leads the term, or cannot confirm that it does."""


class Leadership:
    """One term of one leader.

    Attributes:
        member: Member that leads.
        state: Agreed state.
        term: The term; also the fencing token of all orders.
        clock: Monotonic seconds.
        started_at: Local time at which the term was taken over.
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
        """Whether the member still leads the term, as far as it knows."""
        return self.member.is_leader and self.member.term == self.term

    def may_order(self) -> bool:
        """Tells whether no other leader can have been elected yet."""
        return self.holds and self.clock() - self.member.quorum_acked_at() <= LEADER_LEASE_S

    async def confirm(self) -> None:
        """Makes sure that no other leader had been elected when this was called.

        A process that was paused goes on with requests that arrived meanwhile; its state may miss what another leader
        has agreed on since, such as a key that was withdrawn.

        Raises:
            LeadershipLostError: No quorum confirms this leader.
        """
        if self.may_order():
            return
        match await self.member.read_index(timeout_s=CONFIRM_TIMEOUT_S):
            case Result(tag="ok") if self.holds:
                return
            case Result(tag="ok"):
                raise LeadershipLostError(f"term {self.term} is over")
            case Result(error=failure):
                raise LeadershipLostError(failure.message)

    async def propose(self, command: Command) -> None:
        """Agrees on a command and applies it.

        Raises:
            LeadershipLostError: The command was not confirmed; it may still take effect.
        """
        if not self.holds:
            raise LeadershipLostError(f"term {self.term} is over")
        match await self.member.propose(data=encode_command(command), timeout_s=PROPOSE_TIMEOUT_S):
            case Result(tag="ok"):
                return
            case Result(error=failure):
                raise LeadershipLostError(failure.message)


__all__ = ["Leadership", "LeadershipLostError"]

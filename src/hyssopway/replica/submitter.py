"""Submits commands to the leader."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from expression import Error, Ok, Result

from hyssopway.control import decode_outcome, encode_command
from hyssopway.peer import PeerUnreachableError
from hyssopway.result import Failure, ResultCode, WorkState

if TYPE_CHECKING:
    from hyssopway.clock import Clock
    from hyssopway.control import Outcome
    from hyssopway.control.command import Command
    from hyssopway.peer import PeerDirectory

    from .proposer import Proposer
    from .replica import Replica

RETRY_S = 0.1
CALL_TIMEOUT_S = 3.0


class Submitter:
    """Submits commands and retries them until their outcome is known.

    Retries are safe: each command carries a request ID or the epoch that it expects.

    Attributes:
        own_name: Name of this daemon.
        proposer: Proposes commands on this daemon; None on a daemon without a disk.
        peers: Clients of the other daemons.
        members: Names of the daemons with a control member.
        replica: Replicated state of this daemon.
        clock: Returns monotonic seconds.
        leader: Last known leader; empty when unknown.
    """

    __slots__ = ("clock", "leader", "members", "own_name", "peers", "proposer", "replica")

    def __init__(
        self,
        *,
        own_name: str,
        proposer: Proposer | None,
        peers: PeerDirectory,
        members: list[str],
        replica: Replica,
        clock: Clock,
    ) -> None:
        self.own_name = own_name
        self.proposer = proposer
        self.peers = peers
        self.members = members
        self.replica = replica
        self.clock = clock
        self.leader = ""

    async def submit(self, command: Command, *, timeout_s: float = 5.0) -> Result[Outcome, Failure]:
        """Submits a command.

        Args:
            command: The command.
            timeout_s: Seconds to wait for the outcome.

        Returns:
            The outcome once this daemon has applied it too, the refusal of the state machine, NO_QUORUM
            when nothing was changed, or OUTCOME_UNKNOWN when the change may still take effect.
        """
        deadline = self.clock() + timeout_s
        data = encode_command(command)
        may_have_run = False
        attempt = 0
        while (left_s := deadline - self.clock()) > 0:
            target = self._choose_target(attempt=attempt)
            attempt += 1
            match await self._attempt(target=target, data=data, timeout_s=min(left_s, CALL_TIMEOUT_S)):
                case Result(tag="ok", ok=outcome):
                    self.leader = target
                    await self.replica.wait_applied_past(outcome.index - 1, timeout_s=max(0.0, left_s))
                    return Error(outcome.failure) if outcome.failure else Ok(outcome)
                case Result(error=failure):
                    may_have_run = may_have_run or failure.work is WorkState.MAY_HAVE_RUN
                    if failure.code is not ResultCode.NOT_LEADER or not self.leader:
                        await asyncio.sleep(RETRY_S)
        return Error(_timeout_failure(may_have_run=may_have_run))

    async def _attempt(self, *, target: str, data: bytes, timeout_s: float) -> Result[Outcome, Failure]:
        if target == self.own_name and self.proposer is not None:
            result = await self.proposer.propose(command=data, timeout_s=timeout_s)
            if result.is_error() and result.error.code is ResultCode.NOT_LEADER:
                self.leader = self.proposer.member.leader_daemon
            return result
        try:
            reply = await self.peers.client(target).propose(command=data, timeout_s=timeout_s)
        except PeerUnreachableError as error:
            self.leader = ""
            work = WorkState.MAY_HAVE_RUN if error.is_sent else WorkState.NOT_RUN
            return Error(Failure(code=ResultCode.PEER_UNREACHABLE, message=str(error), work=work))
        if reply.accepted:
            return Ok(decode_outcome(reply.outcome))
        self.leader = reply.leader if reply.leader != target else ""
        return Error(Failure(code=ResultCode.NOT_LEADER, message=f"{target} is not the leader"))

    def _choose_target(self, *, attempt: int) -> str:
        if self.leader:
            return self.leader
        if self.proposer is not None and self.proposer.member.leader_daemon:
            return self.proposer.member.leader_daemon
        return self.members[attempt % len(self.members)]


def _timeout_failure(*, may_have_run: bool) -> Failure:
    if may_have_run:
        message = "no outcome in time; the change may still take effect, retry with the same request id"
        return Failure(code=ResultCode.OUTCOME_UNKNOWN, message=message, work=WorkState.MAY_HAVE_RUN)
    message = "no quorum of control members is reachable; nothing was changed, retry later"
    return Failure(code=ResultCode.NO_QUORUM, message=message, retry_after_s=1.0)


__all__ = ["Submitter"]

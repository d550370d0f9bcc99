"""Proposes commands on the daemon that leads."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hyssopway.control import wrap_command

if TYPE_CHECKING:
    from collections.abc import Callable

    from expression import Result

    from hyssopway.agreement import Member
    from hyssopway.control import ClusterClock, Outcome
    from hyssopway.result import Failure

    from .replica import Replica


class Proposer:
    """Gives commands their time and hands them to the control member.

    Attributes:
        member: Control member of this daemon.
        replica: Agreed state of this daemon.
        cluster_clock: Time of the agreed state.
        wall_ms: Wall-clock milliseconds, for display.
    """

    __slots__ = ("cluster_clock", "member", "replica", "wall_ms")

    def __init__(
        self, *, member: Member, replica: Replica, cluster_clock: ClusterClock, wall_ms: Callable[[], int]
    ) -> None:
        self.member = member
        self.replica = replica
        self.cluster_clock = cluster_clock
        self.wall_ms = wall_ms

    def now_ms(self) -> int:
        """Returns agreed time; only meaningful while this daemon leads."""
        return self.cluster_clock.read_ms(applied_ms=self.replica.state.tables.now_ms)

    async def propose(self, *, command: bytes, timeout_s: float) -> Result[Outcome, Failure]:
        """Proposes an encoded command.

        Raises:
            ValueError: The bytes are not a command of this release.
        """
        data = wrap_command(command, at_ms=self.now_ms(), wall_ms=self.wall_ms())
        return await self.member.propose(data=data, timeout_s=timeout_s)


__all__ = ["Proposer"]

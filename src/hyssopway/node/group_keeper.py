"""Keeps the group of control members as it should be, on the leader."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from expression import Result

from hyssopway.event import Event, log_event

from .group_policy import MemberView, choose_change

if TYPE_CHECKING:
    from hyssopway.agreement import Member

STEP_S = 0.25
CHANGE_TIMEOUT_S = 3.0
JOINER_S = 3.0
MAX_LAG = 100


class GroupKeeper:
    """Adds, promotes and removes members while this node leads.

    Attributes:
        member: Own member.
        wanted_voters: Number of voters that tolerates the losses.
        joiners: Local time at which each member last asked to join.
    """

    __slots__ = ("joiners", "led_since", "member", "wanted_voters")

    def __init__(self, *, member: Member, tolerated_losses: int) -> None:
        self.member = member
        self.wanted_voters = 2 * tolerated_losses + 1
        self.joiners: dict[str, float] = {}
        self.led_since = float("inf")

    def take_joiner(self, member_id: str) -> None:
        """Takes in that a member asks to join."""
        if member_id not in self.joiners and member_id not in self.member.configuration.members:
            log_event(Event.MEMBER_JOINS, member=member_id)
        self.joiners[member_id] = self.member.clock()

    async def run(self) -> None:
        """Makes one change after another for as long as the node runs."""
        while True:
            await asyncio.sleep(STEP_S)
            if not self.member.is_leader:
                self.led_since = float("inf")
                continue
            self.led_since = min(self.led_since, self.member.clock())
            await self._step()

    async def _step(self) -> None:
        member = self.member
        now = member.clock()
        self.joiners = {key: at for key, at in self.joiners.items() if now - at < JOINER_S}
        views = {
            key: MemberView(
                # Silence counts from the start of the term, since a new leader has heard nobody.
                silent_s=now - max(progress.acked_at, self.led_since),
                lag=member.commit_index - progress.match_index,
            )
            for key, progress in member.progress.items()
        }
        change = choose_change(
            configuration=member.configuration,
            joiners=sorted(self.joiners),
            views=views,
            wanted_voters=self.wanted_voters,
            max_lag=MAX_LAG,
        )
        if change is None:
            return
        match await member.change_members(change, timeout_s=CHANGE_TIMEOUT_S):
            case Result(tag="ok"):
                log_event(Event.MEMBER_CHANGED, change=change, result="done")
            case Result(error=failure):
                log_event(Event.MEMBER_CHANGED, change=change, result=failure.message)


__all__ = ["GroupKeeper"]

"""Adjusts the members of the group while this node leads."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from expression import Result

from hyssopway.event import Event, log_event

from .membership_policy import MemberStatus, choose_membership_change

if TYPE_CHECKING:
    from hyssopway.agreement import Member

CHECK_INTERVAL_S = 0.25
CHANGE_TIMEOUT_S = 3.0
JOIN_REQUEST_TTL_S = 3.0
MAX_PROMOTION_LAG = 100


class MembershipManager:
    """Adds, promotes and removes members while this node leads.

    Attributes:
        member: Member of this node.
        wanted_voters: Number of voters that tolerates the losses.
        join_requests: Local time of the last join request by member id.
        leading_since: Local time since which this node leads; infinity while it does not.
    """

    __slots__ = ("join_requests", "leading_since", "member", "wanted_voters")

    def __init__(self, *, member: Member, tolerated_losses: int) -> None:
        self.member = member
        self.wanted_voters = 2 * tolerated_losses + 1
        self.join_requests: dict[str, float] = {}
        self.leading_since = float("inf")

    def record_join_request(self, member_id: str) -> None:
        """Records that a member requests to join."""
        if member_id not in self.join_requests and member_id not in self.member.configuration.members:
            log_event(Event.MEMBER_JOINS, member=member_id)
        self.join_requests[member_id] = self.member.clock()

    async def run(self) -> None:
        """Makes one membership change at a time, until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            if not self.member.is_leader:
                self.leading_since = float("inf")
                continue
            self.leading_since = min(self.leading_since, self.member.clock())
            await self._apply_next_change()

    async def _apply_next_change(self) -> None:
        member = self.member
        now = member.clock()
        self.join_requests = {
            key: at for key, at in self.join_requests.items() if now - at < JOIN_REQUEST_TTL_S
        }
        views = {
            key: MemberStatus(
                # Silence is counted from the start of the term because a new leader has no earlier replies.
                silent_s=now - max(progress.acked_at, self.leading_since),
                lag=member.commit_index - progress.match_index,
            )
            for key, progress in member.progress.items()
        }
        change = choose_membership_change(
            configuration=member.configuration,
            joiners=sorted(self.join_requests),
            views=views,
            wanted_voters=self.wanted_voters,
            max_lag=MAX_PROMOTION_LAG,
        )
        if change is None:
            return
        match await member.change_members(change, timeout_s=CHANGE_TIMEOUT_S):
            case Result(tag="ok"):
                log_event(Event.MEMBER_CHANGED, change=change, result="done")
            case Result(error=failure):
                log_event(Event.MEMBER_CHANGED, change=change, result=failure.message)


__all__ = ["MembershipManager"]

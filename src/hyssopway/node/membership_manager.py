"""Adjusts the members of the group while this node leads."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from expression import Result

from hyssopway.event import Event, log_event

from .join_request import JoinRequest
from .membership_policy import MemberStatus, choose_membership_change

if TYPE_CHECKING:
    from hyssopway.agreement import Member

    from .state_version_manager import StateVersionManager

CHECK_INTERVAL_S = 0.25
CHANGE_TIMEOUT_S = 3.0
JOIN_REQUEST_TTL_S = 3.0
MAX_PROMOTION_LAG = 100


class MembershipManager:
    """Adds, promotes and removes members while this node leads.

    Attributes:
        member: Member of this node.
        versions: Knows the version of the state that each member has to support.
        wanted_voters: Number of voters that tolerates the losses.
        join_requests: Latest join request by member id.
        unsupported: Members, and members that ask to join, which are known not to support the version of the state.
        leading_since: Local time since which this node leads; infinity while it does not.
    """

    __slots__ = ("join_requests", "leading_since", "member", "unsupported", "versions", "wanted_voters")

    def __init__(self, *, member: Member, versions: StateVersionManager, tolerated_losses: int) -> None:
        self.member = member
        self.versions = versions
        self.wanted_voters = 2 * tolerated_losses + 1
        self.join_requests: dict[str, JoinRequest] = {}
        self.unsupported: set[str] = set()
        self.leading_since = float("inf")

    def record_join_request(self, member_id: str, *, supported_version: int | None) -> None:
        """Records that a member requests to join."""
        if member_id not in self.join_requests and member_id not in self.member.configuration.members:
            log_event(Event.MEMBER_JOINS, member=member_id)
        self.join_requests[member_id] = JoinRequest(
            received_at=self.member.clock(), supported_version=supported_version
        )

    async def run(self) -> None:
        """Makes one membership change at a time, until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            if not self.member.is_leader:
                self.leading_since = float("inf")
                self.unsupported = set()
                continue
            self.leading_since = min(self.leading_since, self.member.clock())
            if not self.versions.is_ready:
                continue  # the version that new members have to support is not known yet
            await self._apply_next_change()

    async def _apply_next_change(self) -> None:
        member = self.member
        now = member.clock()
        self.join_requests = {
            key: request
            for key, request in self.join_requests.items()
            if now - request.received_at < JOIN_REQUEST_TTL_S
        }
        reports = self._collect_reports()
        self._update_unsupported(reports)
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
            unsupported=self._list_unsuitable(reports),
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

    def _collect_reports(self) -> dict[str, int | None]:
        """Returns the version that each member, or member that asks to join, supports; None if it is not known yet."""
        reports = {key: request.supported_version for key, request in self.join_requests.items()}
        return reports | {key: progress.supported_version for key, progress in self.member.progress.items()}

    def _update_unsupported(self, reports: dict[str, int | None]) -> None:
        required = self.versions.required_version
        unsupported = {key for key, version in reports.items() if version is not None and version < required}
        for key in sorted(unsupported - self.unsupported):
            log_event(Event.MEMBER_UNSUPPORTED, member=key, supported=reports[key], required=required)
        self.unsupported = unsupported

    def _list_unsuitable(self, reports: dict[str, int | None]) -> set[str]:
        """Returns the members that do not support the version of the state, or that have not said so yet."""
        if not self.versions.required_version:
            return set()
        return self.unsupported | {key for key, version in reports.items() if version is None}


__all__ = ["MembershipManager"]

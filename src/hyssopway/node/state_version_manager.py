"""Raises the version of the replicated state while this node leads."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from hyssopway.workflow import SetStateVersion, encode_command

if TYPE_CHECKING:
    from hyssopway.agreement import Member
    from hyssopway.workflow import WorkflowState

CHECK_INTERVAL_S = 0.25
PROPOSE_TIMEOUT_S = 3.0
MAX_REPORT_AGE_S = 1.0


class StateVersionManager:
    """Raises the version of the state once all members support a higher one.

    Attributes:
        member: Member of this node.
        state: Replicated state.
        proposed_term: Term in which this node last proposed a version; 0 before the first.
        proposed_version: Version that it proposed then, committed or not.
    """

    __slots__ = ("member", "proposed_term", "proposed_version", "state")

    def __init__(self, *, member: Member, state: WorkflowState) -> None:
        self.member = member
        self.state = state
        self.proposed_term = 0
        self.proposed_version = 0

    @property
    def is_ready(self) -> bool:
        """Whether this node leads and has applied all entries of earlier leaders, so that it knows their versions."""
        return self.member.is_leader and self.member.applied_index >= self.member.term_start_index

    @property
    def required_version(self) -> int:
        """Version that a member must support to be added or promoted.

        A version that this leader has proposed counts before its commit: an entry that adds a member would follow it.
        """
        if self.proposed_term == self.member.term:
            return max(self.state.tables.version, self.proposed_version)
        return self.state.tables.version

    async def run(self) -> None:
        """Raises the version whenever all members support a higher one, until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            await self.raise_version()

    async def raise_version(self) -> None:
        """Proposes the highest version that all members support if it is higher than the one in force."""
        if not self.is_ready:
            return
        version = self.find_common_version()
        if version <= self.required_version:
            return
        self.proposed_term = self.member.term
        self.proposed_version = version
        data = encode_command(SetStateVersion(version=version))
        # Without a confirmation the entry is still in the log of this leader, and the next one finds it there or not.
        await self.member.propose(data=data, timeout_s=PROPOSE_TIMEOUT_S)

    def find_common_version(self) -> int:
        """Returns the highest version that all members support; 0 if one has not reported lately in this term."""
        versions = [self.member.supported_version]
        oldest_valid_ack = self.member.clock() - MAX_REPORT_AGE_S
        for member_id in self.member.configuration.members:
            if member_id == self.member.member_id:
                continue
            progress = self.member.progress.get(member_id)
            if progress is None or progress.supported_version is None:
                return 0
            if progress.acked_at < oldest_valid_ack:
                return 0
            versions.append(progress.supported_version)
        return min(versions)


__all__ = ["StateVersionManager"]

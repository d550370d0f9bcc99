"""Diagnostic dump of the state of a member."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from .member import Member


def dump_member(member: Member) -> dict[str, Any]:
    """Returns the state of a member's log and its view of the group."""
    return {
        "member_id": member.member_id,
        "role": member.role,
        "is_halted": member.is_halted,
        "term": member.term,
        "leader": member.leader_id,
        "commit_index": member.commit_index,
        "applied_index": member.applied_index,
        "last_index": member.store.last_index,
        "synced_index": member.store.synced_index,
        "snapshot_index": member.store.snapshot.index,
        "syncs": member.store.log_file.syncs,
        "configuration": member.configuration,
        "supported_version": member.supported_version,
        "supported_versions": {
            name: progress.supported_version for name, progress in member.progress.items()
        },
        "progress": {name: progress.match_index for name, progress in member.progress.items()},
    }


__all__ = ["dump_member"]

"""Answers of one daemon to another."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class ProposeReply:
    """Answer to a proposed command.

    Attributes:
        accepted: Whether the daemon leads and answers with an outcome.
        leader: Daemon that leads as far as known; empty when unknown.
        outcome: Encoded outcome.
    """

    accepted: bool
    leader: str = ""
    outcome: bytes = b""


@dataclass(frozen=True, slots=True, kw_only=True)
class ConfirmReply:
    """Answer of a leader to a request for confirmation.

    Attributes:
        commit_index: Index that covers everything committed up to the confirmed time.
        confirmed_age_s: Age of the confirmed time when the answer was written; infinite when none.
    """

    commit_index: int
    confirmed_age_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class WatchReply:
    """Answer to a watch.

    Attributes:
        first_index: Index of the first entry.
        entries: Encoded entries; empty for entries that only concern the log.
        applied_index: Index applied by the daemon that answers.
        confirmed_age_s: Age of its confirmed time when the answer was written; infinite when none.
        waited_s: How long it waited before it answered.
        snapshot_size: Size of the snapshot to read instead of entries; 0 when the entries suffice.
    """

    first_index: int = 0
    entries: tuple[bytes, ...] = ()
    applied_index: int = 0
    confirmed_age_s: float = float("inf")
    waited_s: float = 0.0
    snapshot_size: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class SnapshotPart:
    """A part of the state of a daemon.

    Attributes:
        data: Bytes from the offset asked for.
        index: Index that the snapshot covers.
        total: Size of the whole snapshot.
    """

    data: bytes
    index: int
    total: int


__all__ = ["ConfirmReply", "ProposeReply", "SnapshotPart", "WatchReply"]

"""Replies to calls between daemons."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class ProposeReply:
    """Reply to a proposed command.

    Attributes:
        accepted: Whether the daemon leads and returns an outcome.
        leader: Last known leader; empty when unknown.
        outcome: Encoded outcome.
    """

    accepted: bool
    leader: str = ""
    outcome: bytes = b""


@dataclass(frozen=True, slots=True, kw_only=True)
class ConfirmReply:
    """Reply of a leader to a request for confirmation.

    Attributes:
        commit_index: Index up to which entries are committed; includes all that were committed before the
            confirmed time.
        confirmed_age_s: Age of the confirmed time when the reply was sent; infinite without one.
    """

    commit_index: int
    confirmed_age_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class WatchReply:
    """Reply to a watch.

    Attributes:
        first_index: Index of the first entry.
        entries: Encoded entries; an entry that only concerns the log is empty.
        applied_index: Last index applied by the replying daemon.
        confirmed_age_s: Age of its confirmed time when the reply was sent; infinite without one.
        waited_s: Seconds that it waited before it replied.
        snapshot_size: Bytes of the snapshot to read instead of entries; 0 when the entries suffice.
    """

    first_index: int = 0
    entries: tuple[bytes, ...] = ()
    applied_index: int = 0
    confirmed_age_s: float = float("inf")
    waited_s: float = 0.0
    snapshot_size: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class SnapshotPart:
    """A part of a snapshot of a daemon's state.

    Attributes:
        data: Bytes from the requested offset on.
        index: Last index that the snapshot includes.
        total: Bytes of the whole snapshot.
    """

    data: bytes
    index: int
    total: int


__all__ = ["ConfirmReply", "ProposeReply", "SnapshotPart", "WatchReply"]

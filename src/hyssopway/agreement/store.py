"""Durable state of a member in its data folder."""

from __future__ import annotations

import secrets
from typing import TYPE_CHECKING

from .atomic_file import read_checksummed, write_atomically
from .configuration import Configuration, daemon_of
from .crash_points import crash_point
from .entry import Entry, EntryKind
from .log_file import LogFile, sync_folder
from .slot_file import SlotFile
from .snapshot import Snapshot
from .storage_error import LogDamagedError, StorageError
from .vote import Vote

if TYPE_CHECKING:
    from collections.abc import Sequence
    from pathlib import Path

IDENTITY_BYTES = 8


class Store:
    """Log, vote and snapshot of one member.

    Entries are also kept in memory. Write methods block until the data is synced; callers run them in a thread, one
    at a time.

    Attributes:
        folder: Path of the data folder.
        vote: Identity, term and vote.
        snapshot: Last snapshot.
        entries: Entries after the snapshot, durable or not.
        log_file: File of the entries.
        vote_file: File of the vote.
        synced_index: Index of the last durable entry.
    """

    __slots__ = ("entries", "folder", "log_file", "snapshot", "synced_index", "vote", "vote_file")

    def __init__(self, *, folder: Path) -> None:
        self.folder = folder
        self.vote = Vote(member_id="")
        self.snapshot = Snapshot()
        self.entries: list[Entry] = []
        self.log_file = LogFile(path=folder / "log")
        self.vote_file = SlotFile(path=folder / "vote")
        self.synced_index = 0

    @property
    def member_id(self) -> str:
        """Id of the member."""
        return self.vote.member_id

    @property
    def is_initialised(self) -> bool:
        """Whether the folder already holds the identity of a member."""
        return self.vote_file.path.exists()

    @property
    def last_index(self) -> int:
        """Index of the last entry, durable or not."""
        return self.snapshot.index + len(self.entries)

    def open(self, *, daemon: str, initial: Configuration | None) -> None:
        """Loads the folder, or initialises an empty one.

        Args:
            daemon: Name of the daemon that hosts the member.
            initial: Configuration of a new group; None for a member that joins an existing one.

        Raises:
            LogDamagedError: A file is damaged or missing.
            StorageError: The folder cannot be read or written.
        """
        try:
            self.folder.mkdir(parents=True, exist_ok=True)
            self._open_files(daemon=daemon, initial=initial)
        except OSError as error:
            raise StorageError(f"cannot open {self.folder}: {error}") from error

    def _open_files(self, *, daemon: str, initial: Configuration | None) -> None:
        raw_vote = self.vote_file.open()
        if raw_vote is None and any((self.folder / name).exists() for name in ("log", "snapshot")):
            # With a new vote file the member could vote a second time in a term.
            raise LogDamagedError(f"{self.folder} holds a log without a vote file")
        if raw_vote is None:
            self._initialise(daemon=daemon, initial=initial)
        else:
            self.vote = Vote.decode(raw_vote)
        # A process that crashed may have left a rename that is not durable. No entries may be dropped or added before it is.
        sync_folder(self.folder)
        raw_snapshot = read_checksummed(self.folder / "snapshot")
        if raw_snapshot is not None:
            self.snapshot = Snapshot.decode(raw_snapshot)
        self.entries = self.log_file.open(first_index=self.snapshot.index + 1)
        sync_folder(self.folder)  # the log may be new
        if self.entries and self.entries[0].term < self.snapshot.term:
            # The process crashed between installing a snapshot and rewriting the log, so the entries are obsolete.
            self.entries = []
            self.log_file.rewrite(first_index=self.snapshot.index + 1, entries=[])
        self.synced_index = self.last_index

    def term_at(self, index: int) -> int | None:
        """Returns the term of the entry at an index, or None if neither log nor snapshot know it."""
        if index == self.snapshot.index:
            return self.snapshot.term
        position = index - self.snapshot.index - 1
        if 0 <= position < len(self.entries):
            return self.entries[position].term
        return None

    def read_batch(self, *, start: int, max_bytes: int) -> tuple[Entry, ...]:
        """Returns entries from index `start` on, up to `max_bytes` but at least one if any exists."""
        found: list[Entry] = []
        size = 0
        for position in range(start - self.snapshot.index - 1, len(self.entries)):
            entry = self.entries[position]
            size += len(entry.data)
            if found and size > max_bytes:
                break
            found.append(entry)
        return tuple(found)

    def configuration(self) -> Configuration:
        """Returns the latest configuration, which takes effect when it is appended."""
        for entry in reversed(self.entries):
            if entry.kind is EntryKind.CONFIGURATION:
                return Configuration.decode(entry.data)
        raw = self.snapshot.configuration or self.vote.initial
        return Configuration.decode(raw) if raw else Configuration()

    def configuration_index(self) -> int:
        """Returns the index of the latest configuration in the log, or else that of the snapshot."""
        for position in range(len(self.entries) - 1, -1, -1):
            if self.entries[position].kind is EntryKind.CONFIGURATION:
                return self.snapshot.index + 1 + position
        return self.snapshot.index

    def configuration_at(self, index: int) -> bytes:
        """Returns the encoded configuration in effect at an index."""
        for position in range(index - self.snapshot.index - 1, -1, -1):
            if self.entries[position].kind is EntryKind.CONFIGURATION:
                return self.entries[position].data
        return self.snapshot.configuration or self.vote.initial

    def write_vote(self, *, term: int, voted_for: str) -> None:
        """Writes and syncs term and vote."""
        vote = Vote(member_id=self.vote.member_id, term=term, voted_for=voted_for, initial=self.vote.initial)
        self.vote_file.write(vote.encode())
        crash_point("vote-synced")
        self.vote = vote

    def write_entries(self, *, index: int, entries: Sequence[Entry]) -> None:
        """Writes and syncs entries, the first at `index`."""
        self.log_file.append(index=index, entries=entries)
        self.synced_index = index + len(entries) - 1

    def write_snapshot(self, snapshot: Snapshot) -> None:
        """Writes and syncs a snapshot and truncates the log; `adopt_snapshot` must follow on the event loop."""
        write_atomically(self.folder / "snapshot", snapshot.encode())
        crash_point("snapshot-written")
        kept = self._entries_after(snapshot)
        durable = kept[: max(0, self.synced_index - snapshot.index)]
        self.log_file.rewrite(first_index=snapshot.index + 1, entries=durable)

    def adopt_snapshot(self, snapshot: Snapshot) -> None:
        """Switches to a durable snapshot and drops the entries that it covers from memory."""
        kept = self._entries_after(snapshot)
        self.snapshot = snapshot
        self.entries = kept
        self.synced_index = max(snapshot.index, min(self.synced_index, self.last_index))

    def close(self) -> None:
        """Closes all files."""
        self.log_file.close()
        self.vote_file.close()

    def _entries_after(self, snapshot: Snapshot) -> list[Entry]:
        if self.term_at(snapshot.index) != snapshot.term:
            return []
        return self.entries[snapshot.index - self.snapshot.index :]

    def _initialise(self, *, daemon: str, initial: Configuration | None) -> None:
        identity = secrets.token_hex(IDENTITY_BYTES)
        if initial is not None:
            identity = next(member for member in initial.voters if daemon_of(member) == daemon).partition(
                "/"
            )[2]
        encoded = initial.encode() if initial is not None else b""
        self.vote = Vote(member_id=f"{daemon}/{identity}", initial=encoded)
        self.vote_file.write(self.vote.encode())


__all__ = ["Store"]

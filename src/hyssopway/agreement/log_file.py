"""Append-only log file of a member."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING

from hyssopway.event import Event, log_event

from .crash_points import crash_point
from .record import decode_records, encode_record, find_later_record
from .storage_error import LogDamagedError, StorageError

if TYPE_CHECKING:
    from collections.abc import Sequence
    from pathlib import Path

    from .entry import Entry


class LogFile:
    """Log entries after the last snapshot, in a file of checksummed records.

    Attributes:
        path: Path of the file.
        first_index: Index of the first entry in the file.
        offsets: Start offset of each entry in the file, in bytes.
        end: Offset in bytes at which the intact records end.
        syncs: Number of syncs since the process started.
        descriptor: Descriptor of the open file; -1 when closed.
        is_rename_synced: Whether the name of the file is durable; until then a power loss may bring back the file before.
    """

    __slots__ = ("descriptor", "end", "first_index", "is_rename_synced", "offsets", "path", "syncs")

    def __init__(self, *, path: Path) -> None:
        self.path = path
        self.first_index = 1
        self.offsets: list[int] = []
        self.end = 0
        self.syncs = 0
        self.descriptor = -1
        self.is_rename_synced = True

    def open(self, *, first_index: int) -> list[Entry]:
        """Opens or creates the file and returns its entries from `first_index` on.

        A torn record at the end is truncated: it was never acknowledged.

        Raises:
            LogDamagedError: A record that is not the last one is damaged, or entries are missing.
            StorageError: The file cannot be read or written.
        """
        try:
            self.descriptor = os.open(self.path, os.O_RDWR | os.O_CREAT, 0o600)
            data = self.path.read_bytes()
        except OSError as error:
            raise StorageError(f"cannot open {self.path}: {error}") from error
        return self._load(data=data, first_index=first_index)

    def append(self, *, index: int, entries: Sequence[Entry]) -> None:
        """Writes entries from `index` on, overwriting existing ones, and syncs once.

        Raises:
            StorageError: The disk is full, read-only or failing.
        """
        position = index - self.first_index
        if position < len(self.offsets):
            self.end = self.offsets[position]
            del self.offsets[position:]
        self._sync_rename()
        self._truncate_tail()
        starts, chunks, offset = [], [], self.end
        for step, entry in enumerate(entries):
            record = encode_record(index=index + step, entry=entry)
            starts.append(offset)
            chunks.append(record)
            offset += len(record)
        try:
            _write_all(self.descriptor, b"".join(chunks), offset=self.end)
            crash_point("written")
            os.fdatasync(self.descriptor)
        except OSError as error:
            raise StorageError(f"cannot write {self.path}: {error}") from error
        crash_point("synced")
        self.syncs += 1
        self.offsets += starts
        self.end = offset

    def rewrite(self, *, first_index: int, entries: Sequence[Entry]) -> None:
        """Atomically replaces the file with one that holds only these entries.

        Raises:
            StorageError: The disk is full, read-only or failing.
        """
        replacement = LogFile(path=self.path.with_suffix(".new"))
        try:
            replacement.path.unlink(missing_ok=True)
            replacement.open(first_index=first_index)
            replacement.append(index=first_index, entries=entries)
            replacement.path.replace(self.path)
        except (OSError, StorageError) as error:
            replacement.close()
            raise StorageError(f"cannot replace {self.path}: {error}") from error
        crash_point("log-replaced")
        # The rename unlinked the old file, so entries written to its descriptor would be lost.
        os.close(self.descriptor)
        self.descriptor = replacement.descriptor
        self.first_index, self.offsets, self.end = first_index, replacement.offsets, replacement.end
        self.syncs += replacement.syncs
        self.is_rename_synced = False
        self._sync_rename()

    def close(self) -> None:
        """Closes the file."""
        if self.descriptor >= 0:
            os.close(self.descriptor)
            self.descriptor = -1

    def _sync_rename(self) -> None:
        if self.is_rename_synced:
            return
        try:
            sync_folder(self.path.parent)
        except OSError as error:
            raise StorageError(f"cannot sync the folder of {self.path}: {error}") from error
        self.is_rename_synced = True

    def _truncate_tail(self) -> None:
        """Truncates the file after the intact records.

        If old records were left there and the next write was torn by a crash, they would follow the torn record and
        make it look like damage in the middle of the file.
        """
        try:
            if os.fstat(self.descriptor).st_size > self.end:
                os.ftruncate(self.descriptor, self.end)
                os.fdatasync(self.descriptor)
        except OSError as error:
            raise StorageError(f"cannot truncate {self.path}: {error}") from error

    def _load(self, *, data: bytes, first_index: int) -> list[Entry]:
        entries: list[Entry] = []
        self.first_index = first_index
        offset = expected = 0
        for end, index, entry in decode_records(data):
            if expected and index != expected:
                raise LogDamagedError(f"{self.path}: found entry {index} instead of entry {expected}")
            expected = index + 1
            if index >= first_index:
                if not entries and index > first_index:
                    raise LogDamagedError(f"{self.path}: entries {first_index} to {index - 1} are missing")
                self.offsets.append(offset)
                entries.append(entry)
            offset = end
        self._truncate_torn_tail(data=data, end=offset)
        self.end = offset
        if not entries:
            # After a crash between writing a snapshot and rewriting the log, the snapshot may cover all entries.
            os.ftruncate(self.descriptor, 0)
            self.end = 0
        return entries

    def _truncate_torn_tail(self, *, data: bytes, end: int) -> None:
        if end == len(data):
            return
        later = find_later_record(data, start=end)
        if later is not None:
            log_event(Event.LOG_DAMAGED, offset=end, problem=f"an intact record follows at {later}")
            raise LogDamagedError(f"{self.path}: damaged at byte {end}, intact record at byte {later}")
        log_event(Event.LOG_TRUNCATED_AT_TAIL, dropped_bytes=len(data) - end)
        os.ftruncate(self.descriptor, end)
        os.fdatasync(self.descriptor)


def sync_folder(folder: Path) -> None:
    """Syncs a folder, which makes renames in it durable."""
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def _write_all(descriptor: int, data: bytes, *, offset: int) -> None:
    view = memoryview(data)
    while view:
        written = os.pwrite(descriptor, view, offset)
        view = view[written:]
        offset += written


__all__ = ["LogFile", "sync_folder"]

"""A small file that is overwritten in place, atomically and durably, by keeping two copies."""

from __future__ import annotations

import os
import struct
from typing import TYPE_CHECKING

import xxhash

from .storage_error import LogDamagedError, StorageError

if TYPE_CHECKING:
    from pathlib import Path

_HEADER = struct.Struct("<QQI")

# At least one disk sector, so that a write to one slot never touches the other slot.
SLOT_BYTES = 4096
SLOTS = 2


class SlotFile:
    """Two copies of a value that are written one after the other; the newer intact copy is valid.

    After a torn write the other copy holds the previous value. If one copy is damaged after a complete write, the
    other still holds the same value: a vote that reverted to an earlier one could be cast twice in a term.

    Replacing a file by rename needs a journal commit of the file system, with a median of 67 ms against 0.1 ms for
    the sync of a file that keeps its size. A vote must not take longer than an election timeout.

    Attributes:
        path: Path of the file.
        sequence: Sequence number of the last write.
        descriptor: Descriptor of the open file; -1 when closed.
    """

    __slots__ = ("descriptor", "path", "sequence")

    def __init__(self, *, path: Path) -> None:
        self.path = path
        self.sequence = 0
        self.descriptor = -1

    def open(self) -> bytes | None:
        """Opens or creates the file and returns the last value written; None if there is none.

        Raises:
            LogDamagedError: No slot is intact.
            StorageError: The file cannot be read or written.
        """
        try:
            self.descriptor = os.open(self.path, os.O_RDWR | os.O_CREAT, 0o600)
            raw = os.pread(self.descriptor, SLOT_BYTES * SLOTS, 0)
            if not raw:
                self._preallocate()
                return None
        except OSError as error:
            raise StorageError(f"cannot open {self.path}: {error}") from error
        return self._read_newest(raw)

    def write(self, data: bytes) -> None:
        """Writes and syncs both slots, one after the other.

        Raises:
            StorageError: The data does not fit into a slot, or the disk is full, read-only or failing.
        """
        sequence = self.sequence + 1
        header = _HEADER.pack(_checksum(sequence=sequence, data=data), sequence, len(data))
        if len(header) + len(data) > SLOT_BYTES:
            raise StorageError(f"{len(data)} bytes do not fit into a slot of {self.path}")
        try:
            content = header + data
            for slot in range(SLOTS):
                if os.pwrite(self.descriptor, content, SLOT_BYTES * slot) < len(content):
                    raise StorageError(f"cannot write {self.path}: partial write")
                os.fdatasync(self.descriptor)
        except OSError as error:
            raise StorageError(f"cannot write {self.path}: {error}") from error
        self.sequence = sequence

    def close(self) -> None:
        """Closes the file."""
        if self.descriptor >= 0:
            os.close(self.descriptor)
            self.descriptor = -1

    def _preallocate(self) -> None:
        os.pwrite(self.descriptor, bytes(SLOT_BYTES * SLOTS), 0)
        os.fsync(self.descriptor)

    def _read_newest(self, raw: bytes) -> bytes | None:
        newest: bytes | None = None
        for slot in range(SLOTS):
            content = raw[SLOT_BYTES * slot : SLOT_BYTES * (slot + 1)].ljust(SLOT_BYTES, b"\0")
            checksum, sequence, length = _HEADER.unpack_from(content)
            data = content[_HEADER.size : _HEADER.size + length]
            if sequence > self.sequence and _checksum(sequence=sequence, data=data) == checksum:
                self.sequence, newest = sequence, data
        if newest is None and any(raw):
            raise LogDamagedError(f"{self.path}: no intact slot")
        return newest


def _checksum(*, sequence: int, data: bytes) -> int:
    return xxhash.xxh3_64_intdigest(data, seed=sequence)


__all__ = ["SlotFile"]

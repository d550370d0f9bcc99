"""Checksummed files that are replaced atomically."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING

import xxhash

from .log_file import sync_folder
from .storage_error import LogDamagedError, StorageError

if TYPE_CHECKING:
    from pathlib import Path

_DIGEST_BYTES = 16


def write_atomically(path: Path, data: bytes) -> None:
    """Replaces a file atomically and durably; a checksum precedes the data.

    Raises:
        StorageError: The disk is full, read-only or failing.
    """
    temporary = path.with_suffix(path.suffix + ".new")
    try:
        with temporary.open("wb") as file:
            file.write(xxhash.xxh3_128_digest(data))
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        temporary.replace(path)
        sync_folder(path.parent)
    except OSError as error:
        raise StorageError(f"cannot write {path}: {error}") from error


def read_checksummed(path: Path) -> bytes | None:
    """Returns the data of a file written by `write_atomically`, or None if the file does not exist.

    Raises:
        LogDamagedError: The checksum does not match.
        StorageError: The file cannot be read.
    """
    try:
        raw = path.read_bytes()
    except FileNotFoundError:
        return None
    except OSError as error:
        raise StorageError(f"cannot read {path}: {error}") from error
    digest, data = raw[:_DIGEST_BYTES], raw[_DIGEST_BYTES:]
    if xxhash.xxh3_128_digest(data) != digest:
        raise LogDamagedError(f"{path}: checksum does not match")
    return data


__all__ = ["read_checksummed", "write_atomically"]

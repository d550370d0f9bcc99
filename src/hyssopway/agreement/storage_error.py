"""Errors of the data folder."""

from __future__ import annotations


class StorageError(Exception):
    """The data folder cannot be written or read."""


class LogDamagedError(StorageError):
    """A record in the middle of a file fails its checksum."""


__all__ = ["LogDamagedError", "StorageError"]

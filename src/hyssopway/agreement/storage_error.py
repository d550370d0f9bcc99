"""Errors of the data folder."""

from __future__ import annotations


class StorageError(Exception):
    """The data folder cannot be written or read."""


class LogDamagedError(StorageError):
    """A record in the middle of a file fails its checksum."""


class InitialiseRefusedError(StorageError):
    """A new group is asked for while one with committed state exists."""


__all__ = ["InitialiseRefusedError", "LogDamagedError", "StorageError"]

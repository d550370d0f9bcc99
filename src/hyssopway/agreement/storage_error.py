"""Errors of the data folder."""

from __future__ import annotations


class StorageError(Exception):
    """The data folder cannot be written or read."""


class LogDamagedError(StorageError):
    """A file of the data folder is damaged or missing in a way that a torn write cannot explain."""


class InitialiseRefusedError(StorageError):
    """Initialisation of a new group was requested, but a group with committed state exists."""


__all__ = ["InitialiseRefusedError", "LogDamagedError", "StorageError"]

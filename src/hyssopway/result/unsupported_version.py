"""Error of a state machine that cannot apply the replicated state of a later release."""

from __future__ import annotations


class UnsupportedVersionError(Exception):
    """A command or a snapshot has a version of the replicated state that this release does not support."""


__all__ = ["UnsupportedVersionError"]

"""A command with the time at which the leader proposed it."""

from __future__ import annotations

from dataclasses import dataclass

from .command import Command


@dataclass(frozen=True, slots=True, kw_only=True)
class Envelope:
    """One entry of the replicated log.

    Attributes:
        at_ms: Cluster time in milliseconds; decisions use only this time.
        wall_ms: Wall-clock time of the leader in milliseconds, for display only.
        command: The command.
    """

    at_ms: int
    wall_ms: int
    command: Command


__all__ = ["Envelope"]

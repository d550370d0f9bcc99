"""A run that was lost."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class LostRun:
    """A run that was lost with the worker process that it was placed on, or out of contact with it.

    Attributes:
        vm: VM of the worker.
        boot_id: ID of the worker process.
    """

    vm: str
    boot_id: str


__all__ = ["LostRun"]

"""Questions to the advisor of a queue."""

from __future__ import annotations

from typing import Protocol


class AdviceError(Exception):
    """The advisor gave no usable answer."""


class AdviceCalls(Protocol):
    """Client of the advisor."""

    async def advise(self, *, step: str, vms: tuple[str, ...], timeout_s: float) -> dict[str, str]:
        """Returns a ticket for each of the VMs that may run a step.

        Raises:
            AdviceError: There was no usable answer in time, or the advisor is busy.
        """
        ...


__all__ = ["AdviceCalls", "AdviceError"]

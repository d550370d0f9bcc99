"""Interface of a queue's advisor, which decides on which VMs a step may run."""

from __future__ import annotations

from typing import Protocol


class AdviceError(Exception):
    """The advisor gave no usable answer."""


class AdviceCalls(Protocol):
    """Client of the advisor."""

    async def advise(self, *, step: str, vms: tuple[str, ...], timeout_s: float) -> dict[str, str]:
        """Requests tickets that allow a step to run on VMs.

        Args:
            step: Name of the step: workflow, occurrence and step number.
            vms: IDs of the VMs to ask about.
            timeout_s: Timeout of the request in seconds.

        Returns:
            A ticket for each VM that may run the step, by VM ID.

        Raises:
            AdviceError: There was no usable answer within the timeout, or the advisor is busy.
        """
        ...


__all__ = ["AdviceCalls", "AdviceError"]

"""Orders to worker VMs."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from hyssopway.workflow import VmRecord

    from .order_reply import OrderReply
    from .poll_reply import PollReply


class WorkerUnreachableError(Exception):
    """A VM gave no usable answer; the order may have been carried out or may be later."""


class OtherBootError(Exception):
    """Another VM or boot answers at the address of a VM, so that VM has ended."""


class WorkerCalls(Protocol):
    """Client of worker VMs.

    Every call raises `WorkerUnreachableError` when there is no usable answer within `timeout_s`. Times of leases
    are on the steady clock of the VM.
    """

    async def poll(
        self,
        *,
        vm: VmRecord,
        fencing_token: int,
        last_end: int,
        lease_until_ms: int | None,
        wait_ms: int,
        timeout_s: float,
    ) -> PollReply:
        """Renews the lease of all runs of a VM and lists them.

        Raises:
            OtherBootError: Another VM answers at the address.
        """
        ...

    async def start(
        self,
        *,
        vm: VmRecord,
        task: str,
        run: int,
        specification: str,
        checkpoint: str,
        ticket: str,
        lease_until_ms: int,
        fencing_token: int,
        timeout_s: float,
    ) -> OrderReply:
        """Starts a run; `ticket` is empty unless the queue has an advisor."""
        ...

    async def stop(
        self, *, vm: VmRecord, task: str, run: int, fencing_token: int, timeout_s: float
    ) -> OrderReply:
        """Stops a run; a run that has not arrived yet is refused from then on."""
        ...

    async def pace(
        self, *, vm: VmRecord, task: str, run: int, percent: int, fencing_token: int, timeout_s: float
    ) -> OrderReply:
        """Limits the share of its work that a run may do."""
        ...


__all__ = ["OtherBootError", "WorkerCalls", "WorkerUnreachableError"]

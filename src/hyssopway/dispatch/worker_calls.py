"""Client protocol for the calls of a leader to worker VMs."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Callable

    from hyssopway.workflow import VmRecord

    from .order_reply import OrderReply
    from .poll_reply import PollReply


class WorkerUnreachableError(Exception):
    """A VM gave no usable answer.

    Attributes:
        is_sent: Whether the call may have reached the VM, which then may have carried it out or may still do so.
        is_broken: Whether the connection ended before the answer, as it does when the VM crashes.
        is_refused: Whether the VM's host refused the connection, as it does when the VM has ended.
    """

    def __init__(
        self,
        message: str,
        *,
        is_sent: bool = True,
        is_broken: bool = False,
        is_refused: bool = False,
    ) -> None:
        super().__init__(message)
        self.is_refused = is_refused
        self.is_sent = is_sent
        self.is_broken = is_broken


class OtherBootError(Exception):
    """Another VM or boot answers at the address of a VM, so the expected boot has ended."""


class WorkerCalls(Protocol):
    """Client of worker VMs.

    Every call raises `WorkerUnreachableError` if there is no usable answer within `timeout_s`. Leases are given as
    times on the monotonic clock of the VM.
    """

    async def poll(
        self,
        *,
        vm: VmRecord,
        fencing_token: int,
        last_end: int,
        lease_until_ms: int | None,
        wait_ms: int,
        may_send: Callable[[], bool],
        timeout_s: float,
    ) -> PollReply:
        """Renews the lease of all runs of a VM, if one is given, and lists the runs.

        `may_send` is checked again when the poll is written. A VM that has restarted would forget ends that nobody has read.

        Raises:
            OtherBootError: Another VM or boot answers at the address.
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
        may_send: Callable[[], bool],
        timeout_s: float,
    ) -> OrderReply:
        """Starts a run; `ticket` is empty if the queue has no advisor.

        `may_send` is checked again when the order is written. A VM that has restarted has seen no fencing token and takes
        orders of former leaders.
        """
        ...

    async def stop(
        self,
        *,
        vm: VmRecord,
        task: str,
        run: int,
        fencing_token: int,
        may_send: Callable[[], bool],
        timeout_s: float,
    ) -> OrderReply:
        """Stops a run; the VM refuses a start of it that arrives later.

        `may_send` is checked again when the order is written. A stop of a former leader takes effect as long as the VM
        has not acknowledged a higher token, and may exceed the disruption allowance that its successor counts.
        """
        ...

    async def pace(
        self, *, vm: VmRecord, task: str, run: int, percent: int, fencing_token: int, timeout_s: float
    ) -> OrderReply:
        """Limits a run to a percentage of its full work rate."""
        ...


__all__ = ["OtherBootError", "WorkerCalls", "WorkerUnreachableError"]

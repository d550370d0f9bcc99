"""Sends the polls of one VM, with the lease and the acknowledgement that each may carry."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from .poll_timing import MAX_POLL_S
from .worker_calls import OtherBootError, WorkerUnreachableError

if TYPE_CHECKING:
    from hyssopway.workflow import VmRecord

    from .poll_reply import PollReply
    from .vm_link import VmLink


class PollSender:
    """Sends polls to one VM and remembers those that it may still carry out.

    Attributes:
        link: Leader's connection to the VM.
    """

    __slots__ = ("link",)

    def __init__(self, *, link: VmLink) -> None:
        self.link = link

    async def send(self, record: VmRecord, *, sent_at: float) -> PollReply:
        """Sends a poll and returns its answer.

        Args:
            record: Record of the VM.
            sent_at: The present local time.

        Raises:
            OtherBootError: Another VM answers at the address.
            WorkerUnreachableError: There was no usable answer in time.
        """
        link = self.link
        last_end = self._choose_acknowledged_end(record, now=sent_at)
        times = link.poll_timing.choose_times(
            now=sent_at, has_acked_term=link.has_acked_term, acknowledges=bool(last_end)
        )
        lease_until_ms = link.lease.renew(now=sent_at) if self._may_renew_lease() else None
        leased_call = link.orders.next_boot.record_sent() if lease_until_ms is not None else None
        acknowledgement = link.acknowledgement.record_sent(now=sent_at) if last_end else None
        try:
            reply = await link.calls.poll(
                vm=record,
                fencing_token=link.fence.token,
                last_end=last_end,
                lease_until_ms=lease_until_ms,
                wait_ms=times.wait_ms,
                may_send=partial(self._may_send, record, last_end=last_end),
                timeout_s=times.timeout_s,
            )
        except WorkerUnreachableError as error:
            if not error.is_sent:
                self._settle(leased_call, acknowledgement, last_end=0)
            # A poll that this process no longer wanted to send says nothing of the VM.
            if error.is_sent or error.is_refused or self._may_send(record, last_end=last_end):
                link.orders.record_loss(error, leased_call=leased_call)
            raise
        except OtherBootError:
            self._settle(leased_call, acknowledgement, last_end=0)  # it was not carried out
            raise
        is_same_boot = reply.boot == record.boot
        self._settle(leased_call, acknowledgement, last_end=last_end if is_same_boot else 0)
        if not is_same_boot and lease_until_ms is not None:
            link.orders.next_boot.record_grant(until_ms=lease_until_ms, clock_ms=reply.clock_ms)
        return reply

    def _settle(self, leased_call: int | None, acknowledgement: int | None, *, last_end: int) -> None:
        if leased_call is not None:
            self.link.orders.next_boot.record_settled(leased_call)
        if acknowledgement is not None:
            self.link.acknowledgement.record_settled(acknowledgement, last_end=last_end)

    def _choose_acknowledged_end(self, record: VmRecord, *, now: float) -> int:
        link = self.link
        # The answer may have waited unread while this process was paused.
        answered_at = min(link.answered_at, link.listing_sent_at + MAX_POLL_S)
        return link.acknowledgement.choose(
            last_end=record.last_end,
            answer_age_s=now - answered_at if link.has_acked_term else float("inf"),
            may_have_restarted=link.may_have_restarted() or link.orders.has_lost_call,
        )

    def _may_send(self, record: VmRecord, *, last_end: int) -> bool:
        """Returns whether a poll may still be sent; the process may have been paused while a connection was opened."""
        leadership = self.link.leadership
        if not leadership.may_order():
            return False
        now = leadership.clock()
        return not last_end or self._choose_acknowledged_end(record, now=now) == last_end

    def _may_renew_lease(self) -> bool:
        """Returns whether a poll may renew the lease.

        A silent VM gets no new lease: each unanswered poll may renew the lease, which would then never expire. Nor does one
        whose connections were refused or broken: it may have restarted, and its clock with it.
        """
        return self.link.has_acked_term and self.link.orders.unreachable_since == float("inf")


__all__ = ["PollSender"]

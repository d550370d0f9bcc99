"""Sends a leader's orders for runs to one VM."""

from __future__ import annotations

import asyncio
from functools import partial
from typing import TYPE_CHECKING, NamedTuple

from hyssopway.event import Event, log_event
from hyssopway.workflow import RunOutcome, TaskId

from .contact_losses import ContactLosses
from .late_starts import LateStarts
from .leader_load import STARTS_UNANSWERED
from .order_reply import Refusal
from .order_state import OrderState
from .run_ends import make_run_end
from .vm_late_starts import VmLateStarts
from .worker_calls import WorkerUnreachableError

if TYPE_CHECKING:
    from collections import Counter
    from collections.abc import Callable, Coroutine, Iterable

    from hyssopway.scheduling.vm_rating import VmRatings
    from hyssopway.workflow import ActiveRun, RunEnd, VmRecord

    from .boot_fence import BootFence
    from .leadership import Leadership
    from .lease import VmLease
    from .next_boot_lease import NextBootLease
    from .order_reply import OrderReply
    from .rtt_estimator import RttEstimator
    from .ticket_cache import TicketCache
    from .worker_calls import WorkerCalls

STOP_RETRY_S = 0.5
REFUSAL_PAUSE_S = 0.3


# Answers to a start whose lease the VM has taken.
LEASED_ANSWERS = (None, Refusal.OLD_RUN, Refusal.NO_ROOM)


class _UnansweredStart(NamedTuple):
    run: ActiveRun
    specification: str
    checkpoint: str
    needs_ticket: bool


class RunOrders:
    """Sends orders for the runs of one VM and tracks their state.

    Orders are retried. This is safe because starts are idempotent: a VM that already has the run accepts a repeated
    start as the same one, and refuses a start that arrives after the end of the run.

    Attributes:
        vm_id: ID of the VM.
        fence: Fencing token of the orders.
        leadership: Term in which the orders are sent.
        calls: Client of worker VMs.
        lease: Lease of the VM's runs.
        tickets: Tickets of steps whose queue has an advisor.
        unanswered_starts: Starts that got no answer, by run key.
        late_starts: Starts that got no answer and that the VM or its next boot may still carry out.
        ratings: Ratings of VMs, which learn whether starts are answered.
        counters: Numbers of scheduling decisions of this term, by name.
        losses: Losses of contact with all VMs.
        rtt_estimator: Estimates how long a VM takes to answer an order.
        order_states: States of the orders, by run key.
        sending: Asyncio tasks that send stops, changes of pace and repeated starts.
        paces: Pace in percent that the VM confirmed, by run key.
        pace_requests: Keys of the runs whose change of pace is in flight.
        on_other_boot: Called when an answer has the clock of another boot.
        next_boot: Lease that the next boot of the VM may hold by calls that were meant for the present one.
        call_lost_at: Local time at which a call last got no answer; negative infinity if the present boot has answered a poll
            that was sent later.
        other_boot_answered_at: The same for an answer that had the clock of another boot.
        is_refused: Whether the last call that got no answer was refused a connection.
        unreachable_since: Local time at which a connection was first refused or broken since the VM last answered;
            infinite if none was.
        paused_until: Local time before which no task is placed on the VM.
    """

    __slots__ = (
        "call_lost_at",
        "calls",
        "counters",
        "fence",
        "is_refused",
        "late_starts",
        "leadership",
        "lease",
        "losses",
        "next_boot",
        "on_other_boot",
        "order_states",
        "other_boot_answered_at",
        "pace_requests",
        "paces",
        "paused_until",
        "ratings",
        "rtt_estimator",
        "sending",
        "tickets",
        "unanswered_starts",
        "unreachable_since",
        "vm_id",
    )

    def __init__(
        self,
        *,
        vm_id: str,
        fence: BootFence,
        leadership: Leadership,
        calls: WorkerCalls,
        lease: VmLease,
        rtt_estimator: RttEstimator,
        tickets: TicketCache,
        ratings: VmRatings,
        counters: Counter[str],
        next_boot: NextBootLease,
        on_other_boot: Callable[[], None],
        late_starts: LateStarts | None = None,
        losses: ContactLosses | None = None,
    ) -> None:
        self.next_boot = next_boot
        self.on_other_boot = on_other_boot
        self.is_refused = False
        self.call_lost_at = self.other_boot_answered_at = float("-inf")
        self.losses = ContactLosses() if losses is None else losses
        self.vm_id = vm_id
        self.fence = fence
        self.leadership = leadership
        self.calls = calls
        self.lease = lease
        self.rtt_estimator = rtt_estimator
        self.tickets = tickets
        self.ratings = ratings
        self.counters = counters
        self.late_starts = VmLateStarts(
            vm_id=vm_id, leadership=leadership, store=LateStarts() if late_starts is None else late_starts
        )
        self.order_states: dict[str, OrderState] = {}
        self.sending: set[asyncio.Task[None]] = set()
        self.paces: dict[str, int] = {}
        self.pace_requests: set[str] = set()
        self.unreachable_since = float("inf")
        self.paused_until = float("-inf")
        self.unanswered_starts: dict[str, _UnansweredStart] = {}

    @property
    def record(self) -> VmRecord | None:
        """Record of the VM in the replicated state; None if there is none."""
        return self.leadership.state.tables.vms.get(self.vm_id)

    def expect_start(self, *, task: str, run: int) -> None:
        """Records that a start is about to be committed and ordered."""
        self.order_states[f"{task}/{run}"] = OrderState(is_sending=True)

    def drop_start(self, *, task: str, run: int) -> None:
        """Discards a start that was not committed."""
        self.order_states.pop(f"{task}/{run}", None)

    def mark_unsent(self, *, task: str, run: int) -> None:
        """Records that a start was not sent although it may be committed later; it is then resolved as unlisted."""
        order_state = self.order_states.get(f"{task}/{run}")
        if order_state is not None:
            order_state.is_sending = False

    def list_starts_in_flight(self) -> list[str]:
        """Returns the keys of runs whose start is being committed or sent."""
        return [key for key, order_state in self.order_states.items() if order_state.is_sending]

    async def start(
        self,
        run: ActiveRun,
        *,
        specification: str,
        checkpoint: str,
        needs_ticket: bool = False,
        is_repeated: bool = False,
    ) -> RunEnd | None:
        """Orders a committed start; returns an end if the run certainly doesn't start, else None.

        Args:
            run: The committed run.
            specification: Text that is passed to the task.
            checkpoint: Checkpoint from which the run continues; empty if there is none.
            needs_ticket: Whether the order needs a ticket of the queue's advisor.
            is_repeated: Whether an earlier order for the run got no answer and may still be carried out.
        """
        step_name = TaskId.parse(run.task).step_name
        order_state = self.order_states.setdefault(run.key, OrderState(is_sending=True))
        # Repeated orders carry the same lease: a later end would prolong the wait for a VM that is gone.
        until_ms = self.lease.renew(now=self.leadership.clock())
        is_sent = is_repeated
        boot = run.boot  # the run may be moved to the next boot, which gets no order with this lease
        self.unanswered_starts.pop(run.key, None)
        try:
            for timeout_s in self.rtt_estimator.choose_timeouts():
                record = self.record
                if record is None or until_ms is None:
                    break
                may_send = partial(self._may_start, run.key, boot=boot, order_state=order_state)
                if not may_send():
                    break
                ticket = self.tickets.read(step_name, vm=self.vm_id, boot=boot) if needs_ticket else ""
                if needs_ticket and not ticket:
                    break
                sent_at = self.leadership.clock()
                order_state.ordered_at = min(order_state.ordered_at, sent_at)
                order_state.last_sent_at = sent_at
                earlier = self.late_starts.record_sent(run.key, boot=boot)
                call = self.next_boot.record_sent()
                try:
                    reply = await self.calls.start(
                        vm=record,
                        task=run.task,
                        run=run.run,
                        specification=specification,
                        checkpoint=checkpoint,
                        ticket=ticket,
                        lease_until_ms=until_ms,
                        fencing_token=self.fence.token,
                        may_send=may_send,
                        timeout_s=timeout_s,
                    )
                except WorkerUnreachableError as error:
                    self._record_unanswered_start(error, key=run.key, order_state=order_state, boot=boot)
                    is_sent = is_sent or error.is_sent
                    if not error.is_sent:
                        self.late_starts.record_answered(run.key, earlier=earlier)
                    self.record_loss(error, leased_call=call)
                    continue
                self.late_starts.record_answered(run.key, earlier=earlier)
                self.next_boot.record_settled(call)
                self._note_other_boot("start", key=run.key, reply=reply, sent_at=sent_at)
                is_of_boot = self.lease.is_of_boot(reply.clock_ms, sent_at=sent_at)
                if reply.refusal in LEASED_ANSWERS and not is_of_boot:
                    self.next_boot.record_grant(until_ms=until_ms, clock_ms=reply.clock_ms)
                order_state.has_started_on_boot |= is_of_boot and reply.refusal is None
                self.rtt_estimator.record_rtt(rtt_s=self.leadership.clock() - sent_at)
                self.record_answer()
                self._rate(boot, is_answered=True)
                return self._process_start_reply(
                    run, order_state=order_state, reply=reply, is_repeated=is_sent
                )
        finally:
            order_state.is_sending = False
        if not is_sent:
            return make_run_end(run, RunOutcome.NOT_STARTED)
        if run.boot != boot:
            return None  # the next boot is told to stop the run unless it lists it
        self.unanswered_starts[run.key] = _UnansweredStart(run, specification, checkpoint, needs_ticket)
        return None

    def _record_unanswered_start(
        self, error: WorkerUnreachableError, *, key: str, order_state: OrderState, boot: int
    ) -> None:
        self._log_unanswered("start", key=key, error=error)
        self.counters[STARTS_UNANSWERED] += 1
        self._rate(boot, is_answered=False)
        order_state.is_connection_broken |= error.is_broken

    def _rate(self, boot: int, *, is_answered: bool) -> None:
        """Rates a boot of the VM by whether it answered an order, unless another one has followed it meanwhile."""
        if self.record is not None and self.record.boot == boot:
            self.ratings.record_order(self.vm_id, is_answered=is_answered)

    def _may_start(self, key: str, *, boot: int, order_state: OrderState) -> bool:
        """Returns whether the start of a run may still be sent to a boot of the VM.

        The boot or the run may have ended while a connection was opened, or while an answer was awaited. The VM refuses the
        start of a run that has ended there, but its next boot does not. The VM may also have been closed to new runs. The
        state of the order is discarded as soon as the next boot shows, before that one is in the record.
        """
        record = self.record
        return (
            self.leadership.may_order()
            and record is not None
            and record.boot == boot
            and self.leadership.state.tables.accepts_starts(record)
            and key in record.runs
            and self.order_states.get(key) is order_state
            and not order_state.is_start_resolved
        )

    @property
    def has_lost_call(self) -> bool:
        """Whether a call got no answer since the last poll that the present boot answered was sent."""
        return self.call_lost_at > float("-inf")

    @property
    def has_other_boot_answered(self) -> bool:
        """Whether an answer had the clock of another boot since then."""
        return self.other_boot_answered_at > float("-inf")

    def record_answer(self) -> None:
        """Records that the VM answered a call."""
        self.unreachable_since = float("inf")
        self.is_refused = False

    def record_listing(self, *, sent_at: float) -> None:
        """Records that the present boot answered a poll.

        Args:
            sent_at: Local time at which the poll was sent.
        """
        self.record_answer()
        if self.call_lost_at <= sent_at:
            self.call_lost_at = float("-inf")
        if self.other_boot_answered_at <= sent_at:
            self.other_boot_answered_at = float("-inf")
        self.next_boot.record_listing(sent_at=sent_at)

    def record_loss(self, error: WorkerUnreachableError, *, leased_call: int | None = None) -> None:
        """Records that a call got no answer; a VM that refuses connections gets no task for a short time.

        Args:
            error: Why there was no answer.
            leased_call: Number of the call if it carried a lease.
        """
        self.is_refused = error.is_refused
        self.call_lost_at = self.leadership.clock()
        if leased_call is not None and error.is_sent:
            self.next_boot.record_loss()
        elif leased_call is not None:
            self.next_boot.record_settled(leased_call)
        if error.is_broken or not error.is_sent:
            self._record_failed_connection(now=self.leadership.clock())
        if not error.is_sent:
            self._pause()

    def _record_failed_connection(self, *, now: float) -> None:
        record = self.record
        if self.unreachable_since == float("inf") and record is not None:
            self.losses.record(record, at=now)
        self.unreachable_since = min(self.unreachable_since, now)

    def _pause(self) -> None:
        self.paused_until = max(self.paused_until, self.leadership.clock() + REFUSAL_PAUSE_S)

    def repeat_start(self, key: str) -> bool:
        """Sends a start that got no answer again; returns False if there is none, or the run was to be stopped."""
        order_state = self.order_states.get(key)
        if key not in self.unanswered_starts or order_state is None or order_state.is_start_resolved:
            return False
        order_state.is_sending = True
        self.send_in_background(self._repeat_start(self.unanswered_starts[key]))
        return True

    async def _repeat_start(self, unanswered: _UnansweredStart) -> None:
        # Its outcome is never certain without an answer, so there is no end to commit.
        await self.start(
            unanswered.run,
            specification=unanswered.specification,
            checkpoint=unanswered.checkpoint,
            needs_ticket=unanswered.needs_ticket,
            is_repeated=True,
        )

    def _process_start_reply(
        self, run: ActiveRun, *, order_state: OrderState, reply: OrderReply, is_repeated: bool
    ) -> RunEnd | None:
        if reply.refusal is None:
            order_state.accepted_at = min(order_state.accepted_at, self.leadership.clock())
            return None
        log_event(Event.ORDER_REFUSED, order="start", run=run.key, vm=self.vm_id, reason=reply.refusal)
        if reply.refusal is Refusal.NO_TICKET:
            # The ticket has expired or is for another boot; the refusal is no sign of a problem on the VM.
            self.tickets.drop(TaskId.parse(run.task).step_name, vm=self.vm_id)
        else:
            self._pause()
        # An earlier copy of a repeated order may still be carried out.
        if is_repeated or reply.refusal is Refusal.OTHER_BOOT:
            return None
        return make_run_end(run, RunOutcome.NOT_STARTED)

    def stop_late_starts(self) -> None:
        """Makes the present boot refuse late starts of runs that have ended on an earlier boot or with it."""
        for key in self.list_open_late_starts():
            task, _, run = key.rpartition("/")
            self.request_stop(task=task, run=int(run), reason="its start may be carried out late")

    def list_open_late_starts(self) -> list[str]:
        """Returns the keys of ended runs whose late start the present boot has not yet been made to refuse."""
        return [key for key in self.late_starts.list_ended() if not self._is_stopped(key)]

    def may_work_on_late_starts(self, *, stop_s: float) -> bool:
        """Returns whether the present boot may start an ended run late, or may still be stopping one.

        Args:
            stop_s: Longest time that the VM takes to stop a run.
        """
        stopped_until = self.leadership.clock() - stop_s
        return any(not self._is_stopped(key, until=stopped_until) for key in self.late_starts.list_ended())

    def _is_stopped(self, key: str, *, until: float | None = None) -> bool:
        """Returns whether the VM confirmed the stop of a run, and did so until some local time if one is given."""
        order_state = self.order_states.get(key)
        if order_state is None or order_state.stopped_at == float("inf"):
            return False
        return until is None or order_state.stopped_at <= until

    def is_stop_requested(self, key: str) -> bool:
        """Returns whether a stop of a run was sent."""
        order_state = self.order_states.get(key)
        return order_state is not None and order_state.stop_requested_at > float("-inf")

    def request_stop(self, *, task: str, run: int, reason: str) -> None:
        """Sends a stop unless one was sent within the last `STOP_RETRY_S` seconds."""
        order_state = self.order_states.setdefault(f"{task}/{run}", OrderState())
        now = self.leadership.clock()
        if now - order_state.stop_requested_at < STOP_RETRY_S or not self.leadership.may_order():
            return
        order_state.stop_requested_at = now
        log_event(Event.STOP_ORDERED, run=f"{task}/{run}", vm=self.vm_id, reason=reason)
        self.send_in_background(self._send_stop(task=task, run=run, order_state=order_state))

    def request_pace(self, *, task: str, run: int, percent: int) -> None:
        """Sends a change of pace unless one is in flight."""
        key, record = f"{task}/{run}", self.record
        if record is None or key in self.pace_requests or not self.leadership.may_order():
            return
        self.pace_requests.add(key)
        log_event(Event.PACE_ORDERED, run=key, vm=self.vm_id, percent=percent)
        self.send_in_background(self._send_pace(task=task, run=run, percent=percent, boot=record.boot))

    def discard_boot(self) -> None:
        """Discards the state of all runs of a boot that has ended."""
        self.order_states.clear()
        self.record_answer()
        self.paces.clear()
        self.paused_until = float("-inf")
        self.unanswered_starts.clear()

    def discard_run(self, key: str) -> OrderState | None:
        """Discards a run that has ended and returns the state of its order, if there was one."""
        self.paces.pop(key, None)
        self.unanswered_starts.pop(key, None)
        return self.order_states.pop(key, None)

    def record_listed(self, keys: Iterable[str], *, now: float) -> None:
        """Records the runs that the VM listed as accepted."""
        for key in keys:
            order_state = self.order_states.setdefault(key, OrderState())
            order_state.accepted_at = min(order_state.accepted_at, now)
            order_state.is_listed = order_state.has_started_on_boot = True
            order_state.unlisted_since = float("inf")

    def send_in_background(self, order: Coroutine[None, None, None]) -> None:
        """Sends an order, or asks the VM, without waiting for the answer."""
        sending = asyncio.create_task(order)
        self.sending.add(sending)
        sending.add_done_callback(self.sending.discard)

    async def _send_pace(self, *, task: str, run: int, percent: int, boot: int) -> None:
        key = f"{task}/{run}"
        try:
            for timeout_s in self.rtt_estimator.choose_timeouts():
                record = self.record
                if record is None or record.boot != boot or not self.leadership.may_order():
                    return
                sent_at = self.leadership.clock()
                try:
                    reply = await self.calls.pace(
                        vm=record,
                        task=task,
                        run=run,
                        percent=percent,
                        fencing_token=self.fence.token,
                        timeout_s=timeout_s,
                    )
                except WorkerUnreachableError as error:
                    self._log_unanswered("pace", key=key, error=error)
                    continue
                self._note_other_boot("pace", key=key, reply=reply, sent_at=sent_at)
                # A refused change is not retried: the run has ended or another leader controls it.
                if self.record is not None and self.record.boot == boot:
                    self.paces[key] = percent
                return
        finally:
            self.pace_requests.discard(key)

    async def _send_stop(self, *, task: str, run: int, order_state: OrderState) -> None:
        for timeout_s in self.rtt_estimator.choose_timeouts():
            record = self.record
            if record is None or not self.leadership.may_order():
                return
            sent_at = self.leadership.clock()
            try:
                reply = await self.calls.stop(
                    vm=record,
                    task=task,
                    run=run,
                    fencing_token=self.fence.token,
                    may_send=self.leadership.may_order,
                    timeout_s=timeout_s,
                )
            except WorkerUnreachableError as error:
                self._log_unanswered("stop", key=f"{task}/{run}", error=error)
                continue
            self._note_other_boot("stop", key=f"{task}/{run}", reply=reply, sent_at=sent_at)
            if reply.refusal is None:
                order_state.stopped_at = min(order_state.stopped_at, self.leadership.clock())
            return

    def _note_other_boot(self, order: str, *, key: str, reply: OrderReply, sent_at: float) -> None:
        """Records and logs an answer whose clock shows that it comes from another boot than the one that was polled last."""
        least_ms = self.lease.find_least_clock_ms(at=sent_at)
        if reply.clock_ms is None or least_ms is None or reply.clock_ms >= least_ms:
            return
        self.other_boot_answered_at = self.leadership.clock()
        self.on_other_boot()
        log_event(
            Event.OTHER_BOOT_ANSWERED,
            vm=self.vm_id,
            order=order,
            run=key,
            clock_ms=reply.clock_ms,
            least_ms=least_ms,
            has_lease=order == "start" and reply.refusal in LEASED_ANSWERS,
        )

    def _log_unanswered(self, order: str, *, key: str, error: WorkerUnreachableError) -> None:
        log_event(Event.ORDER_UNANSWERED, order=order, run=key, vm=self.vm_id, reason=str(error))


__all__ = ["RunOrders"]

"""Resolves the outcome of runs that are in the replicated state but that their VM does not list."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hyssopway.event import Event, log_event
from hyssopway.workflow import RunOutcome, TaskId

from .order_state import OrderState
from .resolution import Resolution, resolve_unlisted
from .run_ends import make_run_end

if TYPE_CHECKING:
    from hyssopway.workflow import ActiveRun, RunEnd, VmRecord

    from .leadership import Leadership
    from .run_orders import RunOrders

# A VM that leaves the starts of a long-running task unanswered for longer is told to stop the run, so that the task can
# start elsewhere. One round of repeats takes about a second, so this allows four or five. The next leader relies on it, see
# `MAX_REPEATED_SENDING_S`.
MAX_REPEAT_S = 5.0


class UnlistedRuns:
    """Resolves runs of one VM that are in the replicated state but not listed by the VM.

    Attributes:
        leadership: Term in which this process leads.
        orders: Orders sent to the VM in this term.
        stop_s: Longest time that the VM takes to stop a run.
    """

    __slots__ = ("leadership", "orders", "stop_s")

    def __init__(self, *, leadership: Leadership, orders: RunOrders, stop_s: float) -> None:
        self.leadership = leadership
        self.orders = orders
        self.stop_s = stop_s

    def resolve(
        self,
        record: VmRecord,
        *,
        listed: set[str],
        sent_at: float,
        answered_at: float,
        term_acked_at: float,
    ) -> list[RunEnd]:
        """Returns the ends of runs whose outcome is certain; requests a stop of those whose start got no answer.

        Args:
            record: Record of the VM in the replicated state.
            listed: Keys of the runs and ends that the VM listed.
            sent_at: Local time at which the poll was sent.
            answered_at: Local time at which its answer arrived. A VM may write the list shortly before that time.
            term_acked_at: Local time at which the VM first acknowledged the fencing token of this term.
        """
        ends: list[RunEnd] = []
        for key in sorted(record.runs - listed):
            run = self._find_run(key)
            if run is None:
                continue
            order_state = self.orders.order_states.setdefault(key, OrderState())
            order_state.unlisted_since = min(order_state.unlisted_since, answered_at)
            decision = resolve_unlisted(
                order_state=order_state,
                run_token=run.fencing_token,
                own_token=self.leadership.term,
                term_acked_at=term_acked_at,
                listing_sent_at=sent_at,
                stop_s=self.stop_s,
            )
            match decision:
                case Resolution.STOP if self._may_repeat_start(run, order_state, sent_at=sent_at):
                    pass
                case Resolution.STOP:
                    self.orders.request_stop(task=run.task, run=run.run, reason="its start got no answer")
                case Resolution.NEVER_RAN:
                    ends.append(self._make_end(run, RunOutcome.NOT_STARTED, order_state))
                case Resolution.VANISHED:
                    ends.append(self._make_end(run, RunOutcome.LOST, order_state))
                case Resolution.WAIT:
                    pass
        return ends

    def _make_end(self, run: ActiveRun, outcome: RunOutcome, order_state: OrderState) -> RunEnd:
        now = self.leadership.clock()
        stop_requested_at = order_state.stop_requested_at
        log_event(
            Event.RUN_UNLISTED,
            run=run.key,
            vm=run.vm,
            outcome=outcome,
            unlisted_ms=round((now - order_state.unlisted_since) * 1000),
            stop_age_ms=round((now - stop_requested_at) * 1000)
            if stop_requested_at > float("-inf")
            else None,
        )
        return make_run_end(run, outcome)

    def _may_repeat_start(self, run: ActiveRun, order_state: OrderState, *, sent_at: float) -> bool:
        """Sends the start of a long-running task again and returns whether it did.

        A stop could end a run that the VM starts late, without regard to the disruption allowance of its step.
        """
        task = TaskId.parse(run.task)
        workflow = self.leadership.state.tables.workflows[task.workflow]
        if not workflow.spec.steps[task.step].long_running or workflow.status.is_final:
            return False
        if not self._accepts_starts() or self._is_over_capacity():
            return False  # the VM was closed to new runs, or has shrunk, since the run was placed
        if sent_at - order_state.ordered_at > MAX_REPEAT_S:
            return False
        return self.orders.repeat_start(run.key)

    def _accepts_starts(self) -> bool:
        record = self.orders.record
        return record is not None and self.leadership.state.tables.accepts_starts(record)

    def _is_over_capacity(self) -> bool:
        record = self.orders.record
        usage = self.leadership.state.indexes.vm_usage.get(self.orders.vm_id)
        return record is not None and usage is not None and not usage.fits(record.capacity)

    def _find_run(self, key: str) -> ActiveRun | None:
        runs = self.leadership.state.tables.runs.get(key.rpartition("/")[0], ())
        return next((run for run in runs if run.key == key and run.vm == self.orders.vm_id), None)


__all__ = ["UnlistedRuns"]

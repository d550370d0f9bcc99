"""Reports the runs that were lost with their VM, and the tasks that probably crash their VMs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hyssopway.event import Event, log_event
from hyssopway.workflow import NO_CRASHES, SUSPICIOUS_CRASHES, TaskId, WorkflowStatus

from .run_evidence import MAX_START_CRASH_S, UNACCEPTED, Evidence, find_evidence, is_confirmed
from .start_log import MAX_RUNS_PER_LOG_LINE

if TYPE_CHECKING:
    from collections import Counter
    from collections.abc import Collection, Mapping

    from hyssopway.workflow import Tables, VmRecord

    from .order_state import OrderState


# A VM may carry out an order that it received after it has answered a poll that was sent up to this much later.
MAX_OVERTAKING_S = 0.2


class LostRuns:
    """Runs that are about to end because the boot of their VM has ended.

    Attributes:
        vm_id: ID of the VM.
        keys: Keys of the runs in progress, and of those whose lease had ended while the VM was out of contact.
        in_doubt: Keys of the runs in progress whose start may have reached the next boot; they are not in `keys`.
        at_work: Keys of the runs in progress that the VM may have worked on.
        just_started: Keys of the runs that the VM accepted right before its connections ended.
        evidence: What shows that the VM had the run, by key of a run at work.
        unconfirmed: Keys of the runs at work of which it is not known whether their start had reached the VM, or whose VM
            ended with others of its rack.
    """

    __slots__ = ("at_work", "evidence", "in_doubt", "just_started", "keys", "unconfirmed", "vm_id")

    def __init__(
        self,
        record: VmRecord,
        *,
        listed: Collection[str] = (),
        order_states: Mapping[str, OrderState] | None = None,
        listing_sent_at: float = float("-inf"),
        unreachable_since: float = float("inf"),
        is_replaced: bool = False,
        moved: Collection[str] = (),
        late_starts: Collection[str] = (),
        ends_with_rack: bool = False,
    ) -> None:
        """Finds the runs.

        Args:
            record: Record of the VM before its runs are ended.
            listed: Keys of the runs in the VM's last answer.
            order_states: States of the orders of this leader, by run key.
            listing_sent_at: Local time at which the poll for the last answer was sent; negative infinity if this leader
                got none.
            unreachable_since: Local time at which a connection was first refused or broken since the VM last answered.
            is_replaced: Whether another boot of the VM follows under the same ID, to which orders may still go.
            moved: Keys of the runs that were in doubt when this boot followed the one before. No order was sent for them
                since.
            late_starts: Keys of the runs of which a copy of the start may still be carried out, by any boot.
            ends_with_rack: Whether contact with another VM of its rack was lost at the same time.
        """
        states = order_states or {}
        self.vm_id = record.vm_id
        has_answered = listing_sent_at > float("-inf")
        never_listed = {key for key in moved if key not in states or not states[key].is_listed}
        self.in_doubt = {key for key in record.runs if is_replaced and _is_in_doubt(states.get(key))}
        if has_answered:
            self.in_doubt -= never_listed
        if is_replaced:
            self.in_doubt |= record.runs.intersection(late_starts)
        self.keys = sorted((record.runs - self.in_doubt) | record.lapsed)
        unlisted = record.runs.difference(listed)
        later = {
            key
            for key in unlisted
            if _may_have_reached(
                states.get(key), listing_sent_at=listing_sent_at, unreachable_since=unreachable_since
            )
        }
        self.at_work = record.runs - (unlisted - later) if has_answered else set(record.runs)
        self.at_work -= never_listed  # they counted when the earlier boot ended
        self.just_started = {
            key for key in later if 0 <= unreachable_since - states[key].accepted_at <= MAX_START_CRASH_S
        }
        self.evidence = {
            key: Evidence.LISTED if key in listed else find_evidence(states.get(key))
            for key in sorted(self.at_work)
        }
        if ends_with_rack:
            self.just_started = set()
        self.unconfirmed = {
            key
            for key, evidence in self.evidence.items()
            if ends_with_rack
            or not is_confirmed(
                evidence,
                order_state=states.get(key),
                is_replaced=is_replaced,
                unreachable_since=unreachable_since,
                is_only_start=self._is_only_start(key),
            )
        }

    def _is_only_start(self, key: str) -> bool:
        """Returns whether no other start was on its way to the VM when its connections ended."""
        return not any(other != key and evidence in UNACCEPTED for other, evidence in self.evidence.items())

    def report_evidence(self) -> None:
        """Logs the runs that count under the end of the boot, and what shows that the VM had them."""
        rows = list(self.evidence.items())
        for offset in range(0, len(rows), MAX_RUNS_PER_LOG_LINE):
            batch = dict(rows[offset : offset + MAX_RUNS_PER_LOG_LINE])
            log_event(Event.RUNS_AT_WORK, vm=self.vm_id, count=len(rows), runs=batch)

    def report(self, *, reason: str, counters: Counter[str]) -> None:
        """Logs and counts the runs.

        Args:
            reason: How the end of the boot was noticed.
            counters: Numbers of scheduling decisions of this term, by name.
        """
        if self.in_doubt:
            counters["runs_kept_over_restarts"] += len(self.in_doubt)
            log_event(
                Event.RUNS_IN_DOUBT, vm=self.vm_id, count=len(self.in_doubt), runs=sorted(self.in_doubt)
            )
        if not self.keys:
            return
        counters["vms_lost_with_runs"] += 1
        counters["runs_lost_with_vms"] += len(self.keys)
        for offset in range(0, len(self.keys), MAX_RUNS_PER_LOG_LINE):
            batch = self.keys[offset : offset + MAX_RUNS_PER_LOG_LINE]
            log_event(
                Event.RUNS_LOST,
                vm=self.vm_id,
                count=len(self.keys),
                runs=batch,
                just_started=[key for key in batch if key in self.just_started],
                reason=reason,
            )

    def report_suspects(self, tables: Tables, *, counters: Counter[str]) -> None:
        """Logs the tasks of the runs under which several VMs have ended, and counts those that were given up.

        Args:
            tables: Replicated data after the runs were ended.
            counters: Numbers of scheduling decisions of this term, by name.
        """
        suspects: dict[str, int] = {}
        given_up: list[str] = []
        for key in (*self.keys, *sorted(self.in_doubt)):
            name = key.rpartition("/")[0]
            task = TaskId.parse(name)
            workflow = tables.workflows.get(task.workflow)
            if workflow is None:
                continue
            count = workflow.progress[task.occurrence][task.step].crashes.get(task.number, NO_CRASHES)
            if count.total >= SUSPICIOUS_CRASHES:
                suspects[name] = count.total
                if workflow.status is WorkflowStatus.FAILED:
                    given_up.append(name)
        if not suspects:
            return
        counters["tasks_given_up_for_crashes"] += len(given_up)
        log_event(Event.TASKS_SUSPECTED, count=len(suspects), vms=suspects, given_up=given_up)


def _is_in_doubt(order_state: OrderState | None) -> bool:
    """Returns whether an order for the start of a run may reach the next boot of its VM."""
    # Without a state, an earlier leader sent the order and the VM has not listed the run to this one.
    return order_state is None or order_state.is_start_in_doubt


def _may_have_reached(
    order_state: OrderState | None, *, listing_sent_at: float, unreachable_since: float
) -> bool:
    """Returns whether a VM may have carried out an order of this leader between its last answer and its end."""
    if order_state is None or order_state.ordered_at == float("inf"):
        return False
    if order_state.ordered_at > unreachable_since:
        return False
    slack_s = MAX_OVERTAKING_S if order_state.was_received else 0.0
    return order_state.ordered_at >= listing_sent_at - slack_s


__all__ = ["LostRuns"]

"""Finds runs of one VM whose start may still be carried out, by the VM's present boot or the next one."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .order_delay import MAX_ORDER_DELAY_S

if TYPE_CHECKING:
    from hyssopway.workflow import ActiveRun, VmRecord

    from .late_starts import LateStarts, UnansweredCopy
    from .leadership import Leadership


class VmLateStarts:
    """Late starts of one VM.

    Attributes:
        vm_id: ID of the VM.
        leadership: Term in which the orders are sent.
        store: Unanswered copies of this leader's starts on all VMs.
    """

    __slots__ = ("leadership", "store", "vm_id")

    def __init__(self, *, vm_id: str, leadership: Leadership, store: LateStarts) -> None:
        self.vm_id = vm_id
        self.leadership = leadership
        self.store = store

    def record_sent(self, key: str, *, boot: int) -> UnansweredCopy | None:
        """Records that a copy is being sent; returns the one before it, to be restored if this one is answered."""
        return self.store.record_sent(key, vm=self.vm_id, boot=boot, now=self.leadership.clock())

    def record_answered(self, key: str, *, earlier: UnansweredCopy | None) -> None:
        """Records that the last copy was answered or not sent; copies before it may still be carried out."""
        self.store.record_answered(key, vm=self.vm_id, earlier=earlier)

    def record_ended(self, key: str, *, boot: int) -> None:
        """Records that a boot has listed the end of a run, which makes this boot refuse its late starts."""
        self.store.record_refused(key, vm=self.vm_id, boot=boot)

    def list_possible(self) -> set[str]:
        """Returns the keys of runs of which a copy of the start may reach the next boot of the VM.

        Which orders of earlier leaders were answered is not known to this one. The next boot has seen no fencing token until
        it answers.
        """
        now = self.leadership.clock()
        keys = set(self.store.find(self.vm_id, now=now))
        if now - self.leadership.started_at <= MAX_ORDER_DELAY_S:
            keys |= {run.key for run in self.list_runs() if run.fencing_token != self.leadership.term}
        return keys

    def list_ended(self) -> list[str]:
        """Returns the keys of runs that have ended and that the present boot may start, since it has forgotten them."""
        record = self._record
        if record is None:
            return []
        return [key for key, copy in self._find_ended().items() if copy.boot != record.boot]

    def list_ended_for_next_boot(self) -> list[str]:
        """Returns the keys of runs that have ended and that the next boot of the VM would start, as it knows nothing of them."""
        return list(self._find_ended())

    def _find_ended(self) -> dict[str, UnansweredCopy]:
        copies = self.store.find(self.vm_id, now=self.leadership.clock())
        runs = self._record.runs if self._record is not None else ()
        return {key: copy for key, copy in copies.items() if key not in runs}

    def list_runs(self) -> list[ActiveRun]:
        """Returns the runs in progress in the record of the VM."""
        runs = self.leadership.state.tables.runs
        keys = self._record.runs if self._record is not None else ()
        return [run for key in keys for run in runs.get(key.rpartition("/")[0], ()) if run.key == key]

    @property
    def _record(self) -> VmRecord | None:
        return self.leadership.state.tables.vms.get(self.vm_id)


__all__ = ["VmLateStarts"]

"""Empties VMs so that their machines can be maintained or moved."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hyssopway.event import Event, log_event
from hyssopway.workflow import TaskId

from .interruption import may_interrupt

if TYPE_CHECKING:
    from .dispatcher import Dispatcher
    from .leadership import Leadership
    from .vm_link import VmLink

# Short tasks end by themselves within this time; then those that keep their work are stopped.
FINISH_S = 2.5
AT_WORK_PERCENT = 100


class VmDrainer:
    """VMs that get no starts and whose work ends or moves.

    Attributes:
        leadership: The term.
        links: VMs by identity.
        dispatcher: Gets told which VMs are closed.
        cordoned_at: Local time since which each VM is emptied.
    """

    __slots__ = ("cordoned_at", "dispatcher", "leadership", "links")

    def __init__(self, *, leadership: Leadership, links: dict[str, VmLink], dispatcher: Dispatcher) -> None:
        self.leadership = leadership
        self.links = links
        self.dispatcher = dispatcher
        self.cordoned_at: dict[str, float] = {}

    def cordon(self, vm_id: str, *, reason: str) -> None:
        """Starts to empty a VM."""
        if vm_id not in self.cordoned_at:
            log_event(Event.VM_CLOSED, vm=vm_id, reason=reason)
            self.cordoned_at[vm_id] = self.leadership.clock()
            self.dispatcher.cordoned_vms.add(vm_id)

    def uncordon(self, vm_id: str) -> None:
        """Lets a VM get starts again."""
        self.cordoned_at.pop(vm_id, None)
        self.dispatcher.cordoned_vms.discard(vm_id)
        self.dispatcher.changed.set()

    def is_empty(self, vm_id: str) -> bool:
        """Tells whether nothing runs on a VM, as agreed."""
        record = self.leadership.state.tables.vms.get(vm_id)
        return record is None or not record.runs

    def has_long_running(self, vm_id: str) -> bool:
        """Tells whether a long-running task is on a VM; these end only within their allowance."""
        tables = self.leadership.state.tables
        record = tables.vms.get(vm_id)
        for key in record.runs if record is not None else ():
            task = TaskId.parse(key.rpartition("/")[0])
            if tables.workflows[task.workflow].spec.steps[task.step].long_running:
                return True
        return False

    def evict_runs(self) -> None:
        """Asks for the stops that are allowed now."""
        for vm_id in list(self.cordoned_at):
            link = self.links.get(vm_id)
            record = self.leadership.state.tables.vms.get(vm_id)
            if link is None or record is None:
                self.uncordon(vm_id)
                continue
            for key in sorted(record.runs):
                self._consider(key, link=link, vm_id=vm_id)

    def _consider(self, key: str, *, link: VmLink, vm_id: str) -> None:
        tables = self.leadership.state.tables
        name, _, run = key.rpartition("/")
        task = TaskId.parse(name)
        step = tables.workflows[task.workflow].spec.steps[task.step]
        if step.long_running:
            if may_interrupt(tables=tables, task=task, is_at_work=self._is_at_work):
                self._stop(task, run=int(run), link=link)
        elif step.checkpointing and self.leadership.clock() - self.cordoned_at[vm_id] > FINISH_S:
            self._stop(task, run=int(run), link=link)

    def _stop(self, task: TaskId, *, run: int, link: VmLink) -> None:
        link.orders.request_stop(task=task.name, run=run, reason="its VM is emptied")

    def _is_at_work(self, key: str) -> bool:
        task = key.rpartition("/")[0]
        for run in self.leadership.state.tables.runs.get(task, ()):
            link = self.links.get(run.vm)
            if link is None or run.key != key or link.orders.is_stop_requested(key):
                continue  # a listing may be older than the stop
            if not link.in_contact(self.leadership.clock()):
                continue
            row = link.listed_runs.get(key)
            if row is not None:
                return row.percent == AT_WORK_PERCENT
        return False


__all__ = ["VmDrainer"]

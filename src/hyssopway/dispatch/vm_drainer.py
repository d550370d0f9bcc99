"""Drains VMs, so that their machines can be moved or go into maintenance."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hyssopway.event import Event, log_event
from hyssopway.workflow import TaskId

from .interruption import may_interrupt

if TYPE_CHECKING:
    from .dispatcher import Dispatcher
    from .leadership import Leadership
    from .vm_link import VmLink

# Time for short tasks to end by themselves; then those that save checkpoints are stopped.
FINISH_TIME_S = 2.5


class VmDrainer:
    """Cordons VMs and stops their runs as far as the runs may be interrupted.

    Attributes:
        leadership: Term on whose behalf runs are stopped.
        links: Links to VMs by VM ID.
        dispatcher: Places no tasks on cordoned VMs.
        cordoned_at: Local time since which each VM has been cordoned, by VM ID.
        draining: IDs of the VMs that are cordoned only because their boot has announced that it is draining.
        held_until: Local time until which each held VM gets no new runs, by VM ID.
    """

    __slots__ = ("cordoned_at", "dispatcher", "draining", "held_until", "leadership", "links")

    def __init__(self, *, leadership: Leadership, links: dict[str, VmLink], dispatcher: Dispatcher) -> None:
        self.leadership = leadership
        self.links = links
        self.dispatcher = dispatcher
        self.cordoned_at: dict[str, float] = {}
        self.draining: set[str] = set()
        self.held_until: dict[str, float] = {}

    def cordon_draining(self) -> None:
        """Cordons the VMs that have announced that they are draining, and uncordons those whose next boot is not."""
        for vm_id, vm in self.leadership.state.tables.vms.items():
            if vm.draining and vm_id not in self.cordoned_at:
                self.cordon(vm_id, reason="it is draining")
                self.draining.add(vm_id)
            elif not vm.draining and vm_id in self.draining:
                self.uncordon(vm_id)

    def cordon(self, vm_id: str, *, reason: str) -> None:
        """Keeps new runs off a VM and starts to drain it; `reason` is logged."""
        if vm_id not in self.cordoned_at:
            log_event(Event.VM_CLOSED, vm=vm_id, reason=reason)
            self.cordoned_at[vm_id] = self.leadership.clock()
            self.dispatcher.cordoned_vms.add(vm_id)

    def uncordon(self, vm_id: str) -> None:
        """Allows new runs on a VM again."""
        self.cordoned_at.pop(vm_id, None)
        self.draining.discard(vm_id)
        if vm_id not in self.held_until:
            self.dispatcher.cordoned_vms.discard(vm_id)
        self.dispatcher.changed.set()

    def hold(self, vm_id: str, *, seconds: float) -> None:
        """Keeps new runs off a VM for some time without draining it.

        An order for its machine may still take effect, and would end the runs.
        """
        until = self.leadership.clock() + seconds
        self.held_until[vm_id] = max(until, self.held_until.get(vm_id, until))
        self.dispatcher.cordoned_vms.add(vm_id)

    def release(self, vm_id: str) -> None:
        """Ends the time for which a VM is held, because the order for its machine was answered."""
        self.held_until.pop(vm_id, None)
        if vm_id not in self.cordoned_at:
            self.uncordon(vm_id)

    def is_empty(self, vm_id: str) -> bool:
        """Returns whether a VM has no runs, and none whose start is being committed."""
        record = self.leadership.state.tables.vms.get(vm_id)
        return (record is None or not record.runs) and not self._list_starts_in_flight(vm_id)

    def has_long_running(self, vm_id: str) -> bool:
        """Returns whether a VM has runs of long-running tasks; they are stopped only within their allowance."""
        tables = self.leadership.state.tables
        record = tables.vms.get(vm_id)
        for key in (*(record.runs if record is not None else ()), *self._list_starts_in_flight(vm_id)):
            task = TaskId.parse(key.rpartition("/")[0])
            workflow = tables.workflows.get(task.workflow)
            if workflow is not None and workflow.spec.steps[task.step].long_running:
                return True
        return False

    def evict_runs(self) -> None:
        """Requests the stops of runs on cordoned VMs that are allowed now, and releases VMs.

        VMs that are gone are uncordoned, and VMs whose time of being held is over get new runs again.
        """
        self._release_held()
        for vm_id in list(self.cordoned_at):
            link = self.links.get(vm_id)
            record = self.leadership.state.tables.vms.get(vm_id)
            if link is None or record is None:
                self.uncordon(vm_id)
                continue
            for key in sorted(record.runs):
                self._stop_if_allowed(key, link=link, vm_id=vm_id)

    def _stop_if_allowed(self, key: str, *, link: VmLink, vm_id: str) -> None:
        tables = self.leadership.state.tables
        name, _, run = key.rpartition("/")
        task = TaskId.parse(name)
        step = tables.workflows[task.workflow].spec.steps[task.step]
        if step.long_running:
            if may_interrupt(tables=tables, task=task, is_working=self._is_at_work):
                self._request_stop(task, run=int(run), link=link)
        elif step.checkpointing and self.leadership.clock() - self.cordoned_at[vm_id] > FINISH_TIME_S:
            self._request_stop(task, run=int(run), link=link)

    def _release_held(self) -> None:
        now = self.leadership.clock()
        for vm_id in [vm_id for vm_id, until in self.held_until.items() if now >= until]:
            self.release(vm_id)

    def _list_starts_in_flight(self, vm_id: str) -> list[str]:
        link = self.links.get(vm_id)
        return link.orders.list_starts_in_flight() if link is not None else []

    def _request_stop(self, task: TaskId, *, run: int, link: VmLink) -> None:
        link.orders.request_stop(task=task.name, run=run, reason="its VM is being drained")

    def _is_at_work(self, key: str) -> bool:
        task = key.rpartition("/")[0]
        for run in self.leadership.state.tables.runs.get(task, ()):
            link = self.links.get(run.vm)
            if link is not None and run.key == key:
                return link.is_at_work(run)
        return False


__all__ = ["VmDrainer"]

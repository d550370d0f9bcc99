"""Models a worker VM that follows the platform's rules for orders, and a network that loses and delays orders.

Orders name a VM by its ID only. A VM that restarts keeps its ID and takes orders that were meant for its earlier boot.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from dispatch.conftest import LIMITS
from hyssopway.dispatch import ListedRun, OrderReply, PollReply, Refusal, WorkerUnreachableError
from hyssopway.dispatch.lease import CLOCK_DRIFT
from hyssopway.dispatch.listed_end import ListedEnd
from hyssopway.workflow import RunEnd, RunOutcome

# The platform carries out an order later than that only on the boot that it was sent to.
MAX_DELAY_S = 12.0


@dataclass(slots=True, kw_only=True)
class ModelWorker:
    """State of one VM whose monotonic clock runs at the slowest allowed rate.

    Attributes:
        name: ID of the VM.
        boot: Current boot number.
        capacity: Number of runs for which there is room; None if it is not limited. It stays over a restart.
        noted: Tasks that have ended as done on any boot and whose end a poll has acknowledged. It stays over a restart.
        clock_ms: Monotonic clock of the VM.
        token: Highest fencing token seen.
        lease_until_ms: End of the lease of all runs.
        live: Numbers of the running runs, by task.
        stopping: Runs that are stopping and still work, with the time on the VM's clock at which they end, by task.
        closed: Highest run number of each task that was stopped or has ended on the VM.
        ends: Ends that have not been acknowledged.
        count: Sequence number of the last end.
        unnoted: Tasks that have ended as done since the lease last lapsed.
    """

    name: str
    boot: int = 1
    capacity: int | None = None
    noted: set[str] = field(default_factory=set)
    clock_ms: float = 1000.0
    token: int = 0
    lease_until_ms: float = 0.0
    live: dict[str, int] = field(default_factory=dict)
    stopping: dict[str, tuple[int, float]] = field(default_factory=dict)
    closed: dict[str, int] = field(default_factory=dict)
    ends: list[ListedEnd] = field(default_factory=list)
    count: int = 0
    unnoted: set[str] = field(default_factory=set)

    def advance(self, seconds):
        self.clock_ms += seconds * 1000 * (1 - CLOCK_DRIFT)
        for task, (run, at_ms) in list(self.stopping.items()):
            if self.clock_ms >= at_ms:
                del self.stopping[task]
                self.end(task, run, RunOutcome.STOPPED)
        if self.clock_ms >= self.lease_until_ms:
            self.unnoted.clear()  # an end counts as taken note of unless the lease lapsed in between
            for task, run in list(self.live.items()):
                del self.live[task]
                self.end(task, run, RunOutcome.LAPSED)

    def end(self, task, run, outcome):
        self.count += 1
        self.closed[task] = max(self.closed.get(task, 0), run)
        self.ends.append(ListedEnd(self.count, RunEnd(task=task, run=run, outcome=outcome)))
        if outcome is RunOutcome.DONE:
            self.unnoted.add(task)

    def finish(self, task, outcome):
        self.end(task, self.live.pop(task), outcome)

    def restart(self):
        fresh = ModelWorker(name=self.name, boot=self.boot + 1, capacity=self.capacity, noted=self.noted)
        for attribute in ModelWorker.__slots__:
            setattr(self, attribute, getattr(fresh, attribute))

    def working(self):
        return {**self.live, **{task: run for task, (run, _) in self.stopping.items()}}

    def take_start(self, *, task, run, lease_until_ms, fencing_token):
        if fencing_token < self.token:
            return Refusal.FENCED
        self.token = fencing_token
        if lease_until_ms <= self.clock_ms:
            return Refusal.LATE
        self.extend_lease(lease_until_ms)
        if run <= self.closed.get(task, 0) or task in self.stopping:
            return Refusal.OLD_RUN
        if task not in self.live:
            if not self.has_room():
                return Refusal.NO_ROOM
            self.live[task] = run
        return None

    def has_room(self):
        return self.capacity is None or len(self.working()) < self.capacity

    def extend_lease(self, lease_until_ms):
        longest_until_ms = self.clock_ms + LIMITS.longest_lease_s * 1000
        self.lease_until_ms = max(self.lease_until_ms, min(lease_until_ms, longest_until_ms))

    def take_stop(self, *, task, run, fencing_token, stop_s):
        if fencing_token < self.token:
            return Refusal.FENCED
        self.token = fencing_token
        if self.live.get(task, run + 1) <= run:
            self.stopping[task] = (self.live.pop(task), self.clock_ms + stop_s * 1000)
        self.closed[task] = max(self.closed.get(task, 0), run)
        return None

    def take_note(self, last_end):
        """Forgets the ends that a poll acknowledges."""
        acknowledged = {listed.end.task for listed in self.ends if listed.number <= last_end}
        self.noted |= acknowledged & self.unnoted
        self.unnoted -= acknowledged
        self.ends = [listed for listed in self.ends if listed.number > last_end]

    def take_poll(self, *, fencing_token, last_end, lease_until_ms):
        if fencing_token < self.token:
            raise WorkerUnreachableError("fenced")
        self.token = fencing_token
        if lease_until_ms is not None:
            self.extend_lease(lease_until_ms)
        self.take_note(last_end)
        rows = tuple(ListedRun(task, run, "", 50, 0) for task, run in self.live.items())
        return PollReply(
            clock_ms=int(self.clock_ms), boot=self.boot, running=rows, ends=tuple(self.ends), is_complete=True
        )


@dataclass(slots=True, kw_only=True, eq=False)
class LateOrder:
    """Order that is carried out later.

    Attributes:
        worker: VM that it was sent to.
        boot: Boot of the VM at that time.
        order: Carries it out.
        text: Describes it.
        starts: Key of the run that it starts; None for other orders.
        age_s: Time since it was sent.
    """

    worker: ModelWorker
    boot: int
    order: Callable[[], object]
    text: str
    starts: str | None
    age_s: float = 0.0


class ModelNetwork:
    """Implements `WorkerCalls` over a network that injects faults.

    Attributes:
        workers: VMs by ID.
        fault: What happens to the next orders: `deliver` (no fault), `lose` (not carried out), `mute` (carried out but
            not answered), `delay` (carried out later), `delay_first` (the next order is carried out later, those
            after it are delivered), `restart` (the VM restarts before the next order arrives, those after it are
            delivered) or `restart_mute` (the same, and none is answered).
        stop_fault: What happens to stops instead, if it differs.
        delayed: Orders that are carried out later, also by a later boot than the one that they were sent to.
        list_runs: Returns the keys of the runs in progress, as far as the leader knows; None if late starts of ended
            runs are carried out in any case.
        down: IDs of the VMs that refuse all connections.
        answered: ID and boot number of the VMs of which the present leader has got an answer.
    """

    def __init__(self, *, workers, stop_s):
        self.workers = workers
        self.stop_s = stop_s
        self.fault = "deliver"
        self.stop_fault = None
        self.delayed = []
        self.list_runs = None
        self.down = set()
        self.answered = set()

    async def poll(self, *, vm, fencing_token, last_end, lease_until_ms, wait_ms, may_send, timeout_s):
        worker = self.workers[vm.vm_id]
        return self._send(
            worker,
            lambda: worker.take_poll(
                fencing_token=fencing_token, last_end=last_end, lease_until_ms=lease_until_ms
            ),
            text=f"poll {fencing_token} {last_end} {lease_until_ms}",
        )

    async def start(
        self, *, vm, task, run, specification, checkpoint, ticket, lease_until_ms, fencing_token, **_
    ):
        worker = self.workers[vm.vm_id]
        refusal = self._send(
            worker,
            lambda: worker.take_start(
                task=task, run=run, lease_until_ms=lease_until_ms, fencing_token=fencing_token
            ),
            text=f"start {task}/{run} {fencing_token} {lease_until_ms}",
            starts=f"{task}/{run}",
        )
        return OrderReply(refusal=refusal, clock_ms=int(worker.clock_ms))

    async def stop(self, *, vm, task, run, fencing_token, may_send, timeout_s):
        worker = self.workers[vm.vm_id]
        refusal = self._send(
            worker,
            lambda: worker.take_stop(task=task, run=run, fencing_token=fencing_token, stop_s=self.stop_s),
            text=f"stop {task}/{run} {fencing_token}",
            fault=self.stop_fault,
        )
        return OrderReply(refusal=refusal, clock_ms=int(worker.clock_ms))

    def deliver_delayed(self, orders=None):
        """Carries out orders that are late, all if none are given, in the order in which they were sent."""
        for late in list(self.delayed) if orders is None else orders:
            self.delayed.remove(late)
            if not self._may_be_carried_out(late):
                continue
            try:
                late.order()
            except WorkerUnreachableError:
                continue  # the sender no longer waits for the answer

    def _may_be_carried_out(self, late):
        """Returns whether a late order is carried out by the present boot of its VM.

        A boot that has not answered the present leader since it started has been told neither the leader's fencing token
        nor of any stop, so that no leader can keep it from a start of a run that has ended by then: a window that remains,
        see docs/design/restarts-under-an-id.md.
        """
        worker = late.worker
        if late.boot == worker.boot:
            return True
        if late.age_s > MAX_DELAY_S:
            return False
        is_ended = (
            late.starts is not None and self.list_runs is not None and late.starts not in self.list_runs()
        )
        return not is_ended or (worker.name, worker.boot) in self.answered

    def advance(self, seconds):
        for late in self.delayed:
            late.age_s += seconds

    def change_leader(self):
        """Forgets which boots have answered the leader."""
        self.answered.clear()

    def _send(self, worker, order, *, text, starts=None, fault=None):
        if worker.name in self.down:
            raise WorkerUnreachableError("refused", is_sent=False, is_refused=True)
        fault = fault or self.fault
        if fault == "delay_first":
            self.fault, fault = "deliver", "delay"
        if fault == "delay":
            self.delayed.append(
                LateOrder(worker=worker, boot=worker.boot, order=order, text=text, starts=starts)
            )
        if fault in ("restart", "restart_mute"):
            worker.restart()
            self.fault, fault = ("deliver", "deliver") if fault == "restart" else ("mute", "mute")
        if fault in ("delay", "lose"):
            raise WorkerUnreachableError(fault)
        answer = order()
        if fault == "mute":
            raise WorkerUnreachableError(fault)
        self.answered.add((worker.name, worker.boot))
        return answer

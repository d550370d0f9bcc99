"""Places waiting tasks and orders their starts and stops, on behalf of one leader."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import TYPE_CHECKING

from hyssopway.clock import wall_ms
from hyssopway.event import Event, log_event
from hyssopway.workflow import AddOccurrence, StartRuns, TaskId

from .placement import place_steps
from .ready_steps import find_due_occurrences, find_ready_steps
from .ticket_cache import TicketCache
from .vm_room import VmRoom

if TYPE_CHECKING:
    from hyssopway.workflow import ActiveRun, Capacity, RunStart, Usage, VmRecord

    from .leadership import Leadership
    from .ready_step import ReadyStep
    from .vm_link import VmLink

# Collects what arrives at nearly the same time into one agreed change.
ROUND_PAUSE_S = 0.004
# Longest time between two rounds: leases end and pauses are over without an event.
IDLE_ROUND_S = 0.25
# Bounds the size of one agreed change.
MAX_STARTS_A_ROUND = 400
MAX_SUSPICION = 5
# Readers of logs cut lines that are much longer than 8 KB.
RUNS_A_LINE = 50


class Dispatcher:
    """Runs rounds of placement while a term lasts.

    Attributes:
        leadership: The term.
        links: VMs by identity.
        closed_vms: VMs that get no starts because they are being emptied.
        due_vms: VMs whose machine waits for its maintenance.
        waiting_millis: Processor by pool that waited after the last round.
        tickets: Tickets of steps whose queue has an advisor.
        changed: Set when a round may find something to do.
        sending: Orders in progress.
    """

    __slots__ = (
        "changed",
        "closed_vms",
        "due_vms",
        "leadership",
        "links",
        "sending",
        "tickets",
        "waiting_millis",
    )

    def __init__(self, *, leadership: Leadership, links: dict[str, VmLink]) -> None:
        self.leadership = leadership
        self.links = links
        self.closed_vms: set[str] = set()
        self.due_vms: set[str] = set()
        self.waiting_millis: dict[str, int] = {}
        self.tickets = TicketCache(clock=leadership.clock)
        self.changed = asyncio.Event()
        self.sending: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Runs rounds until the term ends."""
        while self.leadership.holds:
            await self._wait_for_change()
            self.changed.clear()
            if not self.leadership.may_order():
                continue
            self._stop_unwanted()
            await self._add_due_occurrences()
            await self.start_waiting()

    async def _wait_for_change(self) -> None:
        try:
            async with asyncio.timeout(IDLE_ROUND_S):
                await self.changed.wait()
        except TimeoutError:
            return
        await asyncio.sleep(ROUND_PAUSE_S)

    def _stop_unwanted(self) -> None:
        for key, vm in list(self.leadership.state.indexes.unwanted.items()):
            link = self.links.get(vm)
            if link is not None:
                task, _, run = key.rpartition("/")
                link.orders.request_stop(task=task, run=int(run), reason="its task needs it no more")

    async def _add_due_occurrences(self) -> None:
        state = self.leadership.state
        due, _ = find_due_occurrences(tables=state.tables, indexes=state.indexes, now_ms=wall_ms())
        for workflow_id, occurrence in due:
            await self.leadership.propose(AddOccurrence(workflow_id=workflow_id, occurrence=occurrence))

    async def start_waiting(self) -> None:
        """Runs one round: places waiting tasks, agrees on their starts and orders them."""
        state = self.leadership.state
        ready = find_ready_steps(tables=state.tables, indexes=state.indexes, now_ms=wall_ms())
        self.waiting_millis = {}
        if not ready:
            return
        self._approve_advised(ready)
        limits = _TeamLimits(self.leadership)
        starts = place_steps(
            steps=ready,
            rooms=self.list_rooms(),
            pool_of=lambda one: state.tables.queue_pools.get(one.workflow.queue, ""),
            takes_limit=limits.take,
            max_starts=MAX_STARTS_A_ROUND,
        )
        self._count_waiting(ready, starts=starts)
        if not starts:
            return
        for start in starts:
            # Known before it is agreed: a listing that arrives in between must not settle it.
            self.links[start.vm].orders.expect_start(task=start.task, run=start.run)
        await self.leadership.propose(StartRuns(fencing_token=self.leadership.term, starts=tuple(starts)))
        self._log_starts(starts)
        for start in starts:
            self._order_start(start)

    def _log_starts(self, starts: list[RunStart]) -> None:
        for first in range(0, len(starts), RUNS_A_LINE):
            part = starts[first : first + RUNS_A_LINE]
            log_event(
                Event.RUNS_ORDERED,
                count=len(part),
                runs={f"{start.task}/{start.run}": start.vm for start in part},
                answer_age_ms=self._answer_ages_ms(part),
            )

    def _answer_ages_ms(self, starts: list[RunStart]) -> dict[str, int]:
        now = self.leadership.clock()
        links = {start.vm: self.links[start.vm] for start in starts if start.vm in self.links}
        return {vm: round((now - link.answered_at) * 1000) for vm, link in links.items()}

    def _count_waiting(self, ready: list[ReadyStep], *, starts: list[RunStart]) -> None:
        started = Counter(start.task.rpartition(".")[0] for start in starts)
        for one in ready:
            pool = self.leadership.state.tables.queue_pools.get(one.workflow.queue, "")
            step_name = TaskId(one.workflow.workflow_id, one.occurrence, one.number, 0).step_name
            waiting = len(one.indexes) - started[step_name]
            total = self.waiting_millis.get(pool, 0) + waiting * one.step.cpu_millis
            if total:
                self.waiting_millis[pool] = total

    def _order_start(self, start: RunStart) -> None:
        run = next(
            (
                one
                for one in self.leadership.state.tables.runs.get(start.task, ())
                if one.run == start.run and one.vm == start.vm
            ),
            None,
        )
        link = self.links.get(start.vm)
        if link is None:
            return  # the VM left
        if run is None:
            link.orders.drop_start(task=start.task, run=start.run)  # not allowed any more when it was applied
            return
        sending = asyncio.create_task(self._send(run, link=link))
        self.sending.add(sending)
        sending.add_done_callback(self.sending.discard)

    async def _send(self, run: ActiveRun, *, link: VmLink) -> None:
        tables = self.leadership.state.tables
        task = TaskId.parse(run.task)
        workflow = tables.workflows[task.workflow]
        saved = workflow.progress[task.occurrence][task.step].saved
        checkpoint = saved.get(task.number, "")
        if workflow.spec.steps[task.step].gang:
            checkpoint = next(iter(saved.values()), "")
        queue = self.leadership.state.indexes.queues.get(workflow.queue)
        await link.start(
            run,
            specification=workflow.spec.specification,
            checkpoint=checkpoint,
            needs_ticket=queue is not None and queue.advisor is not None,
        )

    def _approve_advised(self, ready: list[ReadyStep]) -> None:
        tables, queues = self.leadership.state.tables, self.leadership.state.indexes.queues
        for one in ready:
            queue = queues.get(one.workflow.queue)
            if queue is None or queue.advisor is None:
                continue
            name = TaskId(one.workflow.workflow_id, one.occurrence, one.number, 0).step_name
            one.approved_vms = frozenset(
                vm_id
                for vm_id, vm in tables.vms.items()
                if vm.pool == queue.pool and self.tickets.read(name, vm=vm_id, boot=vm.boot)
            )

    def list_rooms(self) -> dict[str, list[VmRoom]]:
        """Returns the free capacity of VMs that take starts, by pool."""
        tables = self.leadership.state.tables
        now = self.leadership.clock()
        rooms: dict[str, list[VmRoom]] = {}
        for vm_id, record in tables.vms.items():
            link = self.links.get(vm_id)
            if link is None or not link.in_contact(now) or now < link.orders.paused_until:
                continue
            if record.draining or record.zone in tables.evacuated or vm_id in self.closed_vms:
                continue
            use = self.leadership.state.indexes.vm_use.get(vm_id)
            rooms.setdefault(record.pool, []).append(
                _describe_room(record, use=use, failures=link.failures, is_due=vm_id in self.due_vms)
            )
        return rooms


class _TeamLimits:
    """Counts the starts of one round against the upper limits of teams."""

    __slots__ = ("leadership", "taken")

    def __init__(self, leadership: Leadership) -> None:
        self.leadership = leadership
        self.taken: dict[str, list[int]] = {}

    def take(self, ready: ReadyStep) -> bool:
        """Counts one more task, or tells that its team is at its limit."""
        indexes = self.leadership.state.indexes
        team = indexes.teams.get(ready.workflow.team)
        if team is None:
            return True
        use = indexes.team_use.get(team.name)
        taken = self.taken.setdefault(team.name, [0, 0, 0])
        step = ready.step
        wanted = [
            taken[0] + step.cpu_millis + (use.cpu_millis if use else 0),
            taken[1] + step.memory_mb + (use.memory_mb if use else 0),
            taken[2] + step.accelerators + (use.accelerators if use else 0),
        ]
        if not _within(wanted, limit=team.upper_limit):
            return False
        taken[0] += step.cpu_millis
        taken[1] += step.memory_mb
        taken[2] += step.accelerators
        return True


def _within(amounts: list[int], *, limit: Capacity) -> bool:
    limits = (limit.cpu_millis, limit.memory_mb, limit.accelerators)
    return all(not most or amount <= most for amount, most in zip(amounts, limits, strict=True))


def _describe_room(record: VmRecord, *, use: Usage | None, failures: int, is_due: bool) -> VmRoom:
    capacity = record.capacity
    return VmRoom(
        vm_id=record.vm_id,
        zone=record.zone,
        labels=record.labels,
        cpu_millis=capacity.cpu_millis - (use.cpu_millis if use else 0),
        memory_mb=capacity.memory_mb - (use.memory_mb if use else 0),
        accelerators=capacity.accelerators - (use.accelerators if use else 0),
        serving=use.serving if use else 0,
        filling=use.filling if use else 0,
        suspicion=min(failures, MAX_SUSPICION),
        is_due=is_due,
    )


__all__ = ["Dispatcher"]

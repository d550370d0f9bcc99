"""Scheduling rounds of one leader: places waiting tasks and orders starts and stops of runs."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import TYPE_CHECKING

from hyssopway.clock import wall_ms
from hyssopway.event import Event, log_event
from hyssopway.scheduling.copies import Copies, StepKey, find_copies_of_silent_runs
from hyssopway.scheduling.durations import DurationQuantiles
from hyssopway.scheduling.racks import RackMap
from hyssopway.scheduling.retries import can_run, excluded_vms
from hyssopway.scheduling.vm_rating import Rating, VmPlace, VmRatings
from hyssopway.workflow import AddOccurrence, StartRuns, TaskId

from .copyable_runs import CopyableRuns
from .free_capacity import FreeCapacity
from .leadership import LeadershipLostError
from .placement import place_steps
from .ready_steps import add_copies, find_due_occurrences, find_ready_steps
from .team_shares import TeamShares
from .ticket_cache import TicketCache

if TYPE_CHECKING:
    from hyssopway.scheduling.interference import InterferenceModel
    from hyssopway.workflow import ActiveRun, Capacity, RunStart, Usage, VmRecord

    from .leadership import Leadership
    from .ready_step import ReadyStep
    from .vm_link import VmLink

# Batches changes that arrive close together into one replicated command.
BATCH_DELAY_S = 0.004
# Longest time between two rounds: leases and pauses expire without an event.
MAX_ROUND_INTERVAL_S = 0.25
# Bounds the size of one replicated command.
MAX_STARTS_PER_ROUND = 400
MAX_COUNTED_FAILURES = 5
# Log readers truncate lines that are much longer than 8 KB.
MAX_RUNS_PER_LOG_LINE = 50


class Dispatcher:
    """Runs scheduling rounds while the leader's term lasts.

    Attributes:
        leadership: Term on whose behalf runs are started.
        links: Links to VMs by VM ID.
        ratings: Ratings of VMs by the ends of their runs.
        durations: Distribution of the ratio of actual to declared run durations.
        copyable_runs: Runs in progress whose steps allow duplicates.
        counters: Numbers of scheduling decisions of this term, by name.
        interference: Pairs of images that are known to disturb each other, or not to; None places without them.
        cordoned_vms: IDs of VMs that get no starts because they are being drained.
        awaiting_maintenance: IDs of VMs whose machine still waits for the maintenance of an open wave.
        waiting_millis: CPU demand of tasks left waiting by the last round, in millicores by pool.
        shares: Order of service by the shares of teams.
        tickets: Tickets of steps whose queue has an advisor.
        changed: Set when a new round may find something to do.
        sending: Start orders in progress.
    """

    __slots__ = (
        "awaiting_maintenance",
        "changed",
        "copyable_runs",
        "cordoned_vms",
        "counters",
        "durations",
        "interference",
        "leadership",
        "links",
        "ratings",
        "sending",
        "shares",
        "tickets",
        "waiting_millis",
    )

    def __init__(
        self,
        *,
        leadership: Leadership,
        links: dict[str, VmLink],
        counters: Counter[str] | None = None,
        interference: InterferenceModel | None = None,
        ratings: VmRatings | None = None,
        durations: DurationQuantiles | None = None,
    ) -> None:
        self.leadership = leadership
        self.counters: Counter[str] = Counter() if counters is None else counters
        self.ratings = VmRatings() if ratings is None else ratings
        self.durations = DurationQuantiles() if durations is None else durations
        self.copyable_runs = CopyableRuns()
        self.links = links
        self.interference = interference
        self.cordoned_vms: set[str] = set()
        self.awaiting_maintenance: set[str] = set()
        self.waiting_millis: dict[str, int] = {}
        self.shares = TeamShares(state=leadership.state, counters=self.counters)
        self.tickets = TicketCache(clock=leadership.clock)
        self.changed = asyncio.Event()
        self.sending: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Runs scheduling rounds until the term ends."""
        while self.leadership.holds:
            await self._wait_for_change()
            self.changed.clear()
            if not self.leadership.may_order():
                continue
            self._stop_unneeded_runs()
            await self._add_due_occurrences()
            await self.run_round()

    async def _wait_for_change(self) -> None:
        try:
            async with asyncio.timeout(MAX_ROUND_INTERVAL_S):
                await self.changed.wait()
        except TimeoutError:
            return
        await asyncio.sleep(BATCH_DELAY_S)

    def _stop_unneeded_runs(self) -> None:
        for key, vm in list(self.leadership.state.indexes.runs_to_stop.items()):
            link = self.links.get(vm)
            if link is not None:
                task, _, run = key.rpartition("/")
                link.orders.request_stop(
                    task=task, run=int(run), reason="its task does not need the run any more"
                )

    async def _add_due_occurrences(self) -> None:
        state = self.leadership.state
        due, _ = find_due_occurrences(tables=state.tables, indexes=state.indexes, now_ms=wall_ms())
        for workflow_id, occurrence in due:
            await self.leadership.propose(AddOccurrence(workflow_id=workflow_id, occurrence=occurrence))

    async def run_round(self) -> None:
        """Runs one round: places waiting tasks, replicates their starts and sends them to the VMs."""
        state = self.leadership.state
        now = self.leadership.clock()
        self._assess_vms()
        ready = find_ready_steps(tables=state.tables, indexes=state.indexes, now_ms=wall_ms())
        silent_vms = {vm_id for vm_id, link in self.links.items() if link.is_silent(now)}
        copies = find_copies_of_silent_runs(tables=state.tables, indexes=state.indexes, silent_vms=silent_vms)
        ready = self._add_copies(ready, copies=copies)
        free_by_pool = self.list_free_capacity() if ready else {}
        self.shares.begin_round(ready, free_by_pool=free_by_pool, now=now)
        team_usage = _TeamUsage(self.leadership, shares=self.shares)
        starts = self._place(
            ready, free_by_pool=free_by_pool, team_usage=team_usage, max_starts=MAX_STARTS_PER_ROUND
        )
        self.waiting_millis = {}
        self._update_waiting_millis(ready, starts=starts)
        slow = self.copyable_runs.find_copies(
            state=state,
            links=self.links,
            durations=self.durations,
            ratings=self.ratings,
            busy_pools=self.waiting_millis,
            silent_vms=silent_vms,
            now=now,
        )
        if slow:
            starts += self._place(
                self._add_copies([], copies=slow),
                free_by_pool=free_by_pool or self.list_free_capacity(),
                team_usage=team_usage,
                max_starts=MAX_STARTS_PER_ROUND - len(starts),
            )
        if starts:
            await self._start(starts, copies=copies, slow=slow)

    async def _start(self, starts: list[RunStart], *, copies: Copies, slow: Copies) -> None:
        for start in starts:
            # Registered before the command is applied, so that a list of the VM's runs that arrives in between
            # does not count the run as ended because it lacks it.
            self.links[start.vm].orders.expect_start(task=start.task, run=start.run)
            if self.ratings.rating(start.vm) is Rating.PROBED:
                self.ratings.start_probe(start.vm, run_key=f"{start.task}/{start.run}")
                self.counters["probe_runs"] += 1
        try:
            await self.leadership.propose(StartRuns(fencing_token=self.leadership.term, starts=tuple(starts)))
        except LeadershipLostError:
            # The command may still be committed in this term. Nothing is sent for it, so its runs are to be resolved.
            for start in starts:
                if start.vm in self.links:
                    self.links[start.vm].orders.mark_unsent(task=start.task, run=start.run)
            raise
        self._log_starts(starts)
        self._log_copies(starts, copies=copies, reason="silent VMs", counter="copies_of_silent_runs")
        self._log_copies(starts, copies=slow, reason="slow runs", counter="copies_of_slow_runs")
        for start in starts:
            self._order_start(start)
            self.copyable_runs.add(
                start, state=self.leadership.state, durations=self.durations, now=self.leadership.clock()
            )

    def _add_copies(self, ready: list[ReadyStep], *, copies: Copies) -> list[ReadyStep]:
        if not copies:
            return ready
        state = self.leadership.state
        return add_copies(ready, copies=copies, tables=state.tables, indexes=state.indexes, now_ms=wall_ms())

    def _place(
        self,
        ready: list[ReadyStep],
        *,
        free_by_pool: dict[str, list[FreeCapacity]],
        team_usage: _TeamUsage,
        max_starts: int,
    ) -> list[RunStart]:
        if not ready or max_starts <= 0:
            return []
        self._set_approved_vms(ready)
        self._apply_ratings(ready, free_by_pool=free_by_pool)
        queue_pools = self.leadership.state.tables.queue_pools
        return place_steps(
            steps=self.shares.iterate(ready),
            free_by_pool=free_by_pool,
            pool_of=lambda ready_step: queue_pools.get(ready_step.workflow.queue, ""),
            reserve_for_team=team_usage.reserve,
            max_starts=max_starts,
        )

    def _assess_vms(self) -> None:
        if self.ratings.is_settled:
            return
        vms = self.leadership.state.tables.vms
        racks = RackMap(vms)
        places = {vm_id: VmPlace(vm.pool, racks.rack_of(vm_id)) for vm_id, vm in vms.items()}
        for change in self.ratings.assess(places, now=self.leadership.clock()):
            self.counters[f"vms_rated_{change.rating}"] += 1
            log_event(Event.VM_RATED, vm=change.vm, rating=change.rating, reason=change.reason)

    def _apply_ratings(self, ready: list[ReadyStep], *, free_by_pool: dict[str, list[FreeCapacity]]) -> None:
        """Excludes VMs for tasks that failed before, and names the tasks that may run on a VM that is probed."""
        tables, indexes = self.leadership.state.tables, self.leadership.state.indexes
        probed_pools = {pool for pool, vms in free_by_pool.items() if any(vm.is_probed for vm in vms)}
        unreliable: frozenset[str] | None = None
        for ready_step in ready:
            workflow, step = ready_step.workflow, ready_step.step
            pool = tables.queue_pools.get(workflow.queue, "")
            failures = workflow.progress[ready_step.occurrence][ready_step.number].failures
            max_attempts = indexes.max_attempts(workflow)
            if pool in probed_pools and not (step.long_running or step.fills or step.gang):
                ready_step.probe_indexes = frozenset(
                    index
                    for index in ready_step.indexes
                    if index not in ready_step.excluded_vms and failures[index] + 1 < max_attempts
                )
            failed = [index for index in ready_step.indexes if failures[index]]
            if not failed or step.gang:
                continue
            if unreliable is None:
                unreliable = self.ratings.unreliable_vms()
            free = [vm for vm in free_by_pool.get(pool, ()) if not vm.is_probed]
            with_room = {vm.vm_id for vm in free if vm.fits(step)}
            if not with_room:
                continue
            able = frozenset(
                vm.vm_id for vm in free if vm.vm_id in with_room or can_run(step, vm=tables.vms[vm.vm_id])
            )
            for index in failed:
                task = TaskId(workflow.workflow_id, ready_step.occurrence, ready_step.number, index)
                excluded = excluded_vms(
                    failed_on=self.ratings.failed_on(task),
                    unreliable=unreliable if failures[index] + 1 >= max_attempts else frozenset(),
                    able=able,
                    with_room=with_room,
                )
                if excluded:
                    known = ready_step.excluded_vms.get(index, frozenset())
                    ready_step.excluded_vms[index] = known | excluded

    def _log_copies(self, starts: list[RunStart], *, copies: Copies, reason: str, counter: str) -> None:
        if not copies:
            return
        copied: dict[str, dict[str, str]] = {}
        for start in starts:
            task = TaskId.parse(start.task)
            if task.number in copies.get(StepKey(task.workflow, task.occurrence, task.step), ()):
                why = self.copyable_runs.reasons.get(task, "")
                copied[f"{start.task}/{start.run}"] = {"vm": start.vm, "why": why}
        self.counters[counter] += len(copied)
        if copied:
            runs = dict(list(copied.items())[:MAX_RUNS_PER_LOG_LINE])
            log_event(Event.COPIES_ORDERED, count=len(copied), reason=reason, runs=runs)

    def _log_starts(self, starts: list[RunStart]) -> None:
        for offset in range(0, len(starts), MAX_RUNS_PER_LOG_LINE):
            batch = starts[offset : offset + MAX_RUNS_PER_LOG_LINE]
            log_event(
                Event.RUNS_ORDERED,
                count=len(batch),
                runs={f"{start.task}/{start.run}": start.vm for start in batch},
                answer_age_ms=self._answer_ages_ms(batch),
            )

    def _answer_ages_ms(self, starts: list[RunStart]) -> dict[str, int]:
        now = self.leadership.clock()
        links = {start.vm: self.links[start.vm] for start in starts if start.vm in self.links}
        return {vm: round((now - link.answered_at) * 1000) for vm, link in links.items()}

    def _update_waiting_millis(self, ready: list[ReadyStep], *, starts: list[RunStart]) -> None:
        started = Counter(start.task.rpartition(".")[0] for start in starts)
        for ready_step in ready:
            pool = self.leadership.state.tables.queue_pools.get(ready_step.workflow.queue, "")
            step_name = TaskId(
                ready_step.workflow.workflow_id, ready_step.occurrence, ready_step.number, 0
            ).step_name
            waiting = len(ready_step.indexes) - started[step_name]
            total = self.waiting_millis.get(pool, 0) + waiting * ready_step.step.cpu_millis
            if total:
                self.waiting_millis[pool] = total

    def _order_start(self, start: RunStart) -> None:
        run = next(
            (
                active
                for active in self.leadership.state.tables.runs.get(start.task, ())
                if active.run == start.run and active.vm == start.vm
            ),
            None,
        )
        link = self.links.get(start.vm)
        if link is None:
            return  # the VM was removed
        if run is None:
            # The command no longer allowed the start when it was applied.
            link.orders.drop_start(task=start.task, run=start.run)
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

    def _set_approved_vms(self, ready: list[ReadyStep]) -> None:
        tables, queues = self.leadership.state.tables, self.leadership.state.indexes.queues
        for ready_step in ready:
            queue = queues.get(ready_step.workflow.queue)
            if queue is None or queue.advisor is None:
                continue
            name = TaskId(
                ready_step.workflow.workflow_id, ready_step.occurrence, ready_step.number, 0
            ).step_name
            ready_step.approved_vms = frozenset(
                vm_id
                for vm_id, vm in tables.vms.items()
                if vm.pool == queue.pool and self.tickets.read(name, vm=vm_id, boot=vm.boot)
            )

    def list_free_capacity(self) -> dict[str, list[FreeCapacity]]:
        """Returns the free capacity of the VMs that may get starts, by pool."""
        tables = self.leadership.state.tables
        now = self.leadership.clock()
        known_pairs = self.interference.find_known_pairs(now) if self.interference is not None else {}
        document = tables.document
        machines_can_leave = document is not None and any(pool.standby for pool in document.pools)
        free_by_pool: dict[str, list[FreeCapacity]] = {}
        for vm_id, record in tables.vms.items():
            link = self.links.get(vm_id)
            if link is None or not link.in_contact(now) or now < link.orders.paused_until:
                continue
            if record.draining or record.zone in tables.evacuated or vm_id in self.cordoned_vms:
                continue
            rating = self.ratings.rating(vm_id)
            if rating is not Rating.PREFERRED and not self.ratings.may_probe(vm_id, runs=record.runs):
                continue
            use = self.leadership.state.indexes.vm_usage.get(vm_id)
            free_by_pool.setdefault(record.pool, []).append(
                _compute_free_capacity(
                    record,
                    use=use,
                    failures=link.failures,
                    is_probed=rating is Rating.PROBED,
                    awaits_maintenance=vm_id in self.awaiting_maintenance,
                    known_pairs=known_pairs,
                    machines_can_leave=machines_can_leave,
                )
            )
        return free_by_pool


class _TeamUsage:
    """Counts the starts of one round against the upper limits of their teams.

    Attributes:
        leadership: Term whose replicated state has the limits and the usage.
        shares: Shares of teams, which count each start, too.
        reserved: Millicores, megabytes of memory and accelerators of the starts of this round, by team.
    """

    __slots__ = ("leadership", "reserved", "shares")

    def __init__(self, leadership: Leadership, *, shares: TeamShares) -> None:
        self.leadership = leadership
        self.shares = shares
        self.reserved: dict[str, list[int]] = {}

    def reserve(self, ready: ReadyStep) -> bool:
        """Counts one more task of a step; returns False when its team would exceed its upper limit."""
        if not self._fits_limit(ready):
            return False
        self.shares.add_start(ready)
        return True

    def _fits_limit(self, ready: ReadyStep) -> bool:
        indexes = self.leadership.state.indexes
        team = indexes.teams.get(ready.workflow.team)
        if team is None:
            return True
        use = indexes.team_usage.get(team.name)
        reserved = self.reserved.setdefault(team.name, [0, 0, 0])
        step = ready.step
        total = [
            reserved[0] + step.cpu_millis + (use.cpu_millis if use else 0),
            reserved[1] + step.memory_mb + (use.memory_mb if use else 0),
            reserved[2] + step.accelerators + (use.accelerators if use else 0),
        ]
        if not _is_within(total, limit=team.upper_limit):
            return False
        reserved[0] += step.cpu_millis
        reserved[1] += step.memory_mb
        reserved[2] += step.accelerators
        return True


def _is_within(amounts: list[int], *, limit: Capacity) -> bool:
    # A limit of 0 means no limit.
    limits = (limit.cpu_millis, limit.memory_mb, limit.accelerators)
    return all(not most or amount <= most for amount, most in zip(amounts, limits, strict=True))


def _compute_free_capacity(
    record: VmRecord,
    *,
    use: Usage | None,
    failures: int,
    is_probed: bool,
    awaits_maintenance: bool,
    known_pairs: dict[tuple[str, str], bool],
    machines_can_leave: bool,
) -> FreeCapacity:
    capacity = record.capacity
    return FreeCapacity(
        vm_id=record.vm_id,
        zone=record.zone,
        labels=record.labels,
        cpu_millis=capacity.cpu_millis - (use.cpu_millis if use else 0),
        memory_mb=capacity.memory_mb - (use.memory_mb if use else 0),
        accelerators=capacity.accelerators - (use.accelerators if use else 0),
        serving=use.latency_bound if use else 0,
        best_effort=use.best_effort if use else 0,
        latency_bound_images=tuple(use.latency_bound_images.elements()) if use and known_pairs else (),
        best_effort_images=tuple(use.best_effort_images.elements()) if use and known_pairs else (),
        known_pairs=known_pairs,
        has_long_running=machines_can_leave and use is not None and use.long_running > 0,
        recent_failures=min(failures, MAX_COUNTED_FAILURES),
        is_probed=is_probed,
        awaits_maintenance=awaits_maintenance,
    )


__all__ = ["Dispatcher"]

"""Scheduling rounds of one leader: places waiting tasks and orders starts and stops of runs."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import TYPE_CHECKING

from hyssopway.clock import wall_ms
from hyssopway.scheduling.copies import find_copies_of_silent_runs
from hyssopway.scheduling.durations import DurationQuantiles
from hyssopway.scheduling.rating import Rating
from hyssopway.scheduling.vm_rating import VmRatings
from hyssopway.workflow import AddOccurrence, StartRuns, TaskId

from .approved_vms import set_approved_vms
from .confined_steps import find_confined_steps
from .copyable_runs import CopyableRuns
from .free_vms import list_badly_rated_capacity, list_free_capacity
from .leader_load import COMMIT_MS, ROUNDS, STARTS
from .leadership import LeadershipLostError
from .placed_runs import PlacedRuns
from .placement import place_steps
from .rated_steps import RatedSteps
from .ready_steps import add_copies, find_due_occurrences, find_ready_steps
from .start_log import log_copies, log_starts
from .start_order import find_run, send_start
from .suspect_steps import set_suspects
from .team_shares import TeamShares
from .team_usage import TeamUsage
from .ticket_cache import TicketCache
from .vm_assessment import assess_vms
from .waiting_demand import measure_waiting_millis

if TYPE_CHECKING:
    from hyssopway.scheduling.copies import Copies
    from hyssopway.scheduling.interference import InterferenceModel
    from hyssopway.workflow import RunStart

    from .free_capacity import FreeCapacity
    from .leadership import Leadership
    from .ready_step import ReadyStep
    from .vm_link import VmLink

# Batches changes that arrive close together into one replicated command.
BATCH_DELAY_S = 0.004
# Longest time between two rounds: leases and pauses expire without an event.
MAX_ROUND_INTERVAL_S = 0.25
# Bounds the size of one replicated command.
MAX_STARTS_PER_ROUND = 400


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
        assess_vms(
            state.tables.vms, ratings=self.ratings, counters=self.counters, now=self.leadership.clock()
        )
        placed_runs = PlacedRuns(tables=state.tables, links=self.links, now=now)
        ready = find_ready_steps(
            tables=state.tables, indexes=state.indexes, placed_runs=placed_runs, now_ms=wall_ms()
        )
        silent_vms = {vm_id for vm_id, link in self.links.items() if link.is_silent(now)}
        copies = find_copies_of_silent_runs(tables=state.tables, indexes=state.indexes, silent_vms=silent_vms)
        ready = self._add_copies(ready, copies=copies, placed_runs=placed_runs)
        free_by_pool = self.list_free_capacity() if ready else {}
        self.shares.begin_round(ready, free_by_pool=free_by_pool, now=now)
        team_usage = TeamUsage(indexes=state.indexes, shares=self.shares)
        starts = self._place(
            ready, free_by_pool=free_by_pool, team_usage=team_usage, max_starts=MAX_STARTS_PER_ROUND
        )
        self.waiting_millis = measure_waiting_millis(ready, starts=starts, pool_of=state.indexes.pool_of)
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
                self._add_copies([], copies=slow, placed_runs=placed_runs),
                free_by_pool=free_by_pool or self.list_free_capacity(),
                team_usage=team_usage,
                max_starts=MAX_STARTS_PER_ROUND - len(starts),
            )
        if starts:
            await self._start(starts, copies=copies, slow=slow)

    async def _start(self, starts: list[RunStart], *, copies: Copies, slow: Copies) -> None:
        self._expect_starts(starts)
        proposed_at = self.leadership.clock()
        try:
            await self.leadership.propose(
                StartRuns(fencing_token=self.leadership.term, starts=tuple(starts), at_ms=wall_ms())
            )
        except LeadershipLostError:
            # The command may still be committed in this term. Nothing is sent for it, so its runs are to be resolved.
            for start in starts:
                if start.vm in self.links:
                    self.links[start.vm].orders.mark_unsent(task=start.task, run=start.run)
            raise
        self.counters[ROUNDS] += 1
        self.counters[COMMIT_MS] += round((self.leadership.clock() - proposed_at) * 1000)
        ordered = [start for start in starts if self._order_start(start)]
        self.counters[STARTS] += len(ordered)
        self._report_starts(ordered, copies=copies, slow=slow)
        for start in ordered:
            self.copyable_runs.add(
                start, state=self.leadership.state, durations=self.durations, now=self.leadership.clock()
            )

    def _expect_starts(self, starts: list[RunStart]) -> None:
        for start in starts:
            # Registered before the command is applied, so that a list of the VM's runs that arrives in between
            # does not count the run as ended because it lacks it.
            self.links[start.vm].orders.expect_start(task=start.task, run=start.run)
            if self.ratings.rating(start.vm) is Rating.PROBED and not self._is_long_running(start):
                self.ratings.start_probe(start.vm, run_key=f"{start.task}/{start.run}")
                self.counters["probe_runs"] += 1

    def _is_long_running(self, start: RunStart) -> bool:
        task = TaskId.parse(start.task)
        return self.leadership.state.tables.workflows[task.workflow].spec.steps[task.step].long_running

    def _add_copies(
        self, ready: list[ReadyStep], *, copies: Copies, placed_runs: PlacedRuns
    ) -> list[ReadyStep]:
        if not copies:
            return ready
        state = self.leadership.state
        return add_copies(
            ready,
            copies=copies,
            tables=state.tables,
            indexes=state.indexes,
            placed_runs=placed_runs,
            now_ms=wall_ms(),
        )

    def _place(
        self,
        ready: list[ReadyStep],
        *,
        free_by_pool: dict[str, list[FreeCapacity]],
        team_usage: TeamUsage,
        max_starts: int,
    ) -> list[RunStart]:
        if not ready or max_starts <= 0:
            return []
        state = self.leadership.state
        set_approved_vms(ready, state=state, tickets=self.tickets)
        set_suspects(ready, state=state, now_ms=wall_ms())
        RatedSteps(state=state, ratings=self.ratings, free_by_pool=free_by_pool).apply(ready)

        def pool_of(ready_step: ReadyStep) -> str:
            return state.indexes.pool_of(ready_step.workflow)

        starts = place_steps(
            steps=self.shares.iterate(ready),
            free_by_pool=free_by_pool,
            pool_of=pool_of,
            reserve_for_team=team_usage.reserve,
            max_starts=max_starts,
        )
        confined = find_confined_steps(ready, starts=starts, pool_of=pool_of, dispatcher=self)
        if confined:
            starts += place_steps(
                steps=confined,
                free_by_pool=list_badly_rated_capacity(self, without={start.vm for start in starts}),
                pool_of=pool_of,
                reserve_for_team=team_usage.reserve,
                max_starts=max_starts - len(starts),
            )
        return starts

    def _report_starts(self, starts: list[RunStart], *, copies: Copies, slow: Copies) -> None:
        log_starts(starts, links=self.links, now=self.leadership.clock())
        reasons = self.copyable_runs.reasons
        if copies:
            count = log_copies(starts, copies=copies, reason="silent VMs", reasons=reasons)
            self.counters["copies_of_silent_runs"] += count
        if slow:
            count = log_copies(starts, copies=slow, reason="slow runs", reasons=reasons)
            self.counters["copies_of_slow_runs"] += count

    def _order_start(self, start: RunStart) -> bool:
        """Sends a committed start in the background; returns False if it was skipped or its VM is gone."""
        run = find_run(start, tables=self.leadership.state.tables)
        link = self.links.get(start.vm)
        if link is None:
            return False  # the VM was removed
        if run is None:
            # The command no longer allowed the start when it was applied.
            link.orders.drop_start(task=start.task, run=start.run)
            return False
        sending = asyncio.create_task(send_start(run, link=link, state=self.leadership.state))
        self.sending.add(sending)
        sending.add_done_callback(self.sending.discard)
        return True

    def list_free_capacity(self) -> dict[str, list[FreeCapacity]]:
        """Returns the free capacity of the VMs that may get starts, by pool."""
        return list_free_capacity(self)


__all__ = ["Dispatcher"]

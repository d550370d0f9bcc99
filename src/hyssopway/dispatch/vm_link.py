"""Polls one VM on behalf of a leader and processes what it reports."""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import replace
from typing import TYPE_CHECKING

from hyssopway.clock import wall_ms
from hyssopway.event import Event, log_event
from hyssopway.scheduling.durations import DurationQuantiles
from hyssopway.scheduling.rating import Rating
from hyssopway.scheduling.vm_rating import VmRatings
from hyssopway.workflow import EndRuns, RunEnd, RunOutcome

from .boot_counts import BootCounts
from .boot_fence import BootFence
from .earlier_boot_calls import EarlierBootCalls
from .end_acknowledgement import EndAcknowledgement
from .lease import RUN_LEASE_S, VmLease
from .next_boot_lease import NextBootLease
from .order_delay import MAX_ORDER_DELAY_S
from .poll_sender import PollSender
from .poll_timing import PollTiming
from .run_end_learning import is_known_task, rate_end, record_duration
from .run_ends import make_run_ends
from .run_expiry import find_former_lease_expiry, list_expired_runs
from .run_orders import RunOrders
from .spread_watch import SpreadWatch
from .stall_detector import StallDetector
from .stopping_runs import StoppingRuns
from .unlisted_runs import UnlistedRuns
from .unsettled_calls import UnsettledCalls
from .vm_boots import VmBoots
from .vm_pace import UNTHROTTLED_PERCENT, VmPace
from .worker_calls import OtherBootError, WorkerUnreachableError

if TYPE_CHECKING:
    from collections.abc import Callable

    from hyssopway.scheduling.interference import InterferenceModel
    from hyssopway.workflow import ActiveRun, VmRecord

    from .contact_losses import ContactLosses
    from .duration_scale import DurationScale
    from .late_starts import LateStarts
    from .leadership import Leadership
    from .listed_end import ListedEnd
    from .listed_run import ListedRun
    from .lost_runs import LostRuns
    from .platform_limits import PlatformLimits
    from .poll_rate_limiter import PollRateLimiter
    from .poll_reply import PollReply
    from .rtt_estimator import RttEstimator
    from .ticket_cache import TicketCache
    from .worker_calls import WorkerCalls

RETRY_S = 0.2
STOP_SLACK_S = 0.2
# A VM with a stalled run gets no new tasks for this long.
STALL_PAUSE_S = 2.0
# A VM whose last answer is older gets no new tasks; longer than the timeout of one unanswered poll.
CONTACT_TIMEOUT_S = 1.3
# The capacity of a VM that rejects nothing is unknown when its last announcement is older; two intervals of its reports.
CAPACITY_TIMEOUT_S = 3.0
# Consecutive unanswered polls after which a VM may count as silent.
MIN_SILENT_POLLS = 2
# A VM that neither answers nor announces itself for this long is removed.
REMOVE_AFTER_S = 20.0


class VmLink:
    """Leader's connection to one VM and its view of the runs there.

    Attributes:
        vm_id: ID of the VM.
        boot: Boot number of the VM that the other attributes describe.
        boots: Ends and replaces boots of the VM.
        fence: Fencing token of the calls to the VM.
        earlier_calls: Waits for calls to earlier boots of the VM.
        leadership: Term in which orders are sent.
        calls: Client of worker VMs.
        scale: Learns the ratio of actual to declared run durations.
        ratings: Ratings of all VMs.
        durations: Learns the distribution of the ratio of actual to declared run durations.
        counters: Numbers of scheduling decisions of this term, by name.
        on_change: Called when a change may allow the leader to start tasks.
        acknowledgement: Acknowledges the ends that the VM lists.
        poll_timing: Chooses the wait and the timeout of each poll.
        polls: Sends polls.
        poll_limiter: Limits the rate of polls over all VMs.
        lease: Lease of the VM's runs.
        orders: Sends orders of this term to the VM.
        pace: Limits the work rate of best-effort tasks on the VM.
        has_acked_term: Whether the VM answers and has acknowledged the fencing token of this term.
        term_acked_at: Local time at which it first acknowledged that token, or did so again after it was silent.
        unlisted: Resolves runs that the VM does not list.
        answered_at: Local time of the last answer.
        listing_sent_at: Local time at which the poll for `listed_runs` was sent.
        heard_at: Local time of the last answer or announcement.
        announced_at: Local time at which this leader took the VM's last announcement; negative infinity if it has not.
        stopping: Runs that the VM may still work on or stop although their ends are committed.
        spread_watch: Reports lists that exceed the spread limit of a step.
        stall_detector: Detects runs that make no progress.
        listed_runs: Runs in the last answer, by run key.
        learned_end: Number of the last end of the boot that was learned from; its commit may be late.
        failures: Number of runs that failed on this boot of the VM since the last success.
        other_boot_announced_at: Local time of the last announcement of a later boot while this one was in contact.
        is_departing: Whether this boot of the VM may have announced its departure.
    """

    __slots__ = (
        "acknowledgement",
        "announced_at",
        "answered_at",
        "boot",
        "boots",
        "calls",
        "counters",
        "durations",
        "earlier_calls",
        "failures",
        "fence",
        "has_acked_term",
        "heard_at",
        "is_departing",
        "leadership",
        "learned_end",
        "lease",
        "listed_runs",
        "listing_sent_at",
        "on_change",
        "orders",
        "other_boot_announced_at",
        "pace",
        "poll_limiter",
        "poll_timing",
        "polls",
        "ratings",
        "scale",
        "spread_watch",
        "stall_detector",
        "stopping",
        "term_acked_at",
        "unlisted",
        "vm_id",
    )

    def __init__(
        self,
        *,
        vm_id: str,
        leadership: Leadership,
        calls: WorkerCalls,
        limits: PlatformLimits,
        scale: DurationScale,
        poll_limiter: PollRateLimiter,
        rtt_estimator: RttEstimator,
        interference: InterferenceModel,
        tickets: TicketCache,
        on_change: Callable[[], None],
        ratings: VmRatings | None = None,
        durations: DurationQuantiles | None = None,
        counters: Counter[str] | None = None,
        late_starts: LateStarts | None = None,
        leased_calls: UnsettledCalls | None = None,
        acknowledging_polls: UnsettledCalls | None = None,
        losses: ContactLosses | None = None,
        boot_counts: BootCounts | None = None,
    ) -> None:
        self.vm_id = vm_id
        self.counters: Counter[str] = Counter() if counters is None else counters
        self.boot = 0
        self.leadership = leadership
        self.calls = calls
        self.on_change = on_change
        self.scale = scale
        self.ratings = VmRatings() if ratings is None else ratings
        self.durations = DurationQuantiles() if durations is None else durations
        self.poll_limiter = poll_limiter
        self.stall_detector = StallDetector()
        self.poll_timing = PollTiming()
        self.acknowledgement = EndAcknowledgement(
            vm_id=vm_id, calls=UnsettledCalls() if acknowledging_polls is None else acknowledging_polls
        )
        length_s = min(RUN_LEASE_S, limits.longest_lease_s)
        next_boot = NextBootLease(
            vm_id=vm_id,
            clock=leadership.clock,
            longest_s=limits.longest_lease_s,
            calls=UnsettledCalls() if leased_calls is None else leased_calls,
        )
        self.lease = VmLease(
            length_s=length_s,
            expires_at=find_former_lease_expiry(
                leadership, vm_id=vm_id, length_s=length_s, longest_s=limits.longest_lease_s
            ),
        )
        self.fence = BootFence(
            vm_id=vm_id,
            leadership=leadership,
            counts=BootCounts() if boot_counts is None else boot_counts,
        )
        self.orders = RunOrders(
            vm_id=vm_id,
            fence=self.fence,
            leadership=leadership,
            calls=calls,
            lease=self.lease,
            rtt_estimator=rtt_estimator,
            tickets=tickets,
            ratings=self.ratings,
            counters=self.counters,
            next_boot=next_boot,
            on_other_boot=self.confirm_boot,
            late_starts=late_starts,
            losses=losses,
        )
        self.earlier_calls = EarlierBootCalls(
            vm_id=vm_id,
            leadership=leadership,
            fence=self.fence,
            lease=self.lease,
            acknowledgement=self.acknowledgement,
            next_boot=next_boot,
        )
        self.pace = VmPace(
            leadership=leadership, orders=self.orders, interference=interference, pacing_s=limits.pacing_s
        )
        self.unlisted = UnlistedRuns(
            leadership=leadership, orders=self.orders, stop_s=limits.stop_s + STOP_SLACK_S
        )
        self.stopping = StoppingRuns(stop_s=limits.stop_s + STOP_SLACK_S)
        self.spread_watch = SpreadWatch(vm_id=vm_id)
        self.has_acked_term = False
        self.term_acked_at = float("inf")
        self.answered_at = float("-inf")
        self.listing_sent_at = float("-inf")
        self.heard_at = leadership.clock()
        self.announced_at = float("-inf")
        self.other_boot_announced_at = float("-inf")
        self.listed_runs: dict[str, ListedRun] = {}
        self.boots = VmBoots(link=self)
        self.polls = PollSender(link=self)
        self.learned_end = 0
        self.failures = 0
        self.is_departing = False

    @property
    def record(self) -> VmRecord | None:
        """Record of the VM in the replicated state; None if there is none."""
        return self.leadership.state.tables.vms.get(self.vm_id)

    def in_contact(self, now: float) -> bool:
        """Returns whether the VM answered recently, so that orders are likely to arrive."""
        return self.has_acked_term and now - self.answered_at <= CONTACT_TIMEOUT_S

    def has_current_capacity(self, now: float) -> bool:
        """Returns whether the VM announced its capacity to this leader a short time ago."""
        return now - self.announced_at <= CAPACITY_TIMEOUT_S

    def is_at_work(self, run: ActiveRun) -> bool:
        """Returns whether a run certainly works at full rate, as far as orders of leaders are concerned.

        A stop that this leader sent may have been carried out after the last listing. So may a stop of an earlier
        leader, which this one does not know: the VM refuses it once it has acknowledged the token of this term, but a
        run that was being stopped by then may end later.
        """
        now = self.leadership.clock()
        if not self.in_contact(now) or self.orders.is_stop_requested(run.key):
            return False
        if (
            run.fencing_token != self.leadership.term
            and self.listing_sent_at < self.term_acked_at + self.unlisted.stop_s
        ):
            return False
        listed_run = self.listed_runs.get(run.key)
        return listed_run is not None and listed_run.percent == UNTHROTTLED_PERCENT

    def confirm_boot(self) -> None:
        """Asks the VM in the background which boot it is, after a sign of another one than in the record."""
        self.orders.send_in_background(self.boots.confirm())

    def may_have_restarted(self) -> bool:
        """Returns whether there is a sign that another boot, perhaps of another kind, has taken the place of this one."""
        is_announced = self.listing_sent_at < self.other_boot_announced_at
        has_connection_failed = self.orders.unreachable_since < float("inf")
        return is_announced or has_connection_failed or self.orders.has_other_boot_answered

    def may_stop_unknown_runs(self, now: float) -> bool:
        """Returns whether the VM may still be stopping a run that it has never listed to this leader.

        A run that is being stopped is not listed. A stop of an earlier leader may have been carried out just before the VM
        acknowledged the token of this term, if it was still on its way by then.
        """
        acked_after_s = self.term_acked_at - self.leadership.started_at
        return acked_after_s <= MAX_ORDER_DELAY_S and now - self.term_acked_at <= self.unlisted.stop_s

    def is_silent(self, now: float) -> bool:
        """Returns whether the VM has left repeated polls of this term unanswered, so that its runs have probably ended.

        Time alone is no sign: it also passes while this process is paused or has just begun to lead.
        """
        return (
            self.poll_timing.consecutive_losses >= MIN_SILENT_POLLS
            and now - max(self.answered_at, self.leadership.started_at) > CONTACT_TIMEOUT_S
        )

    async def run(self) -> None:
        """Polls the VM and renews its lease for as long as the VM is registered."""
        while self.record is not None:
            if not self.leadership.may_order():
                await asyncio.sleep(RETRY_S / 4)
            elif not await self.poll() and self.poll_timing.consecutive_losses != 1:
                # The first unanswered poll is retried at once.
                await asyncio.sleep(RETRY_S)

    async def poll(self) -> bool:
        """Polls the VM once and returns whether it answered."""
        record = self.record
        if record is None:
            return False
        try:
            await self._poll(record)
        except OtherBootError as error:
            self.poll_timing.record_answer()
            # Another boot may have been announced meanwhile, perhaps at another address.
            if self._is_in_record(record.boot):
                await self.boots.end(reason=str(error))
            return False
        except WorkerUnreachableError as error:
            self.poll_timing.record_loss(now=self.leadership.clock())
            self._record_silence(record, reason=str(error))
            if self.is_departing and error.is_refused:
                await self.boots.remove_departed(record)
            else:
                await self._end_lapsed_runs(record)
            return False
        return True

    async def start(
        self, run: ActiveRun, *, specification: str, checkpoint: str, needs_ticket: bool = False
    ) -> None:
        """Orders a committed start; commits the end of the run if it certainly does not start."""
        end = await self.orders.start(
            run, specification=specification, checkpoint=checkpoint, needs_ticket=needs_ticket
        )
        if end is not None:
            await self._propose_ends([end])

    async def _poll(self, record: VmRecord) -> None:
        if record.boot != self.boot:
            self.discard_boot()
            self.boot = record.boot
        sent_at, token = self.leadership.clock(), self.fence.token
        reply = await self.polls.send(record, sent_at=sent_at)
        self.poll_timing.record_answer()
        if reply.boot != record.boot:
            await self.boots.register(record, reply=reply)
            return
        if not self._is_in_record(record.boot):
            return  # another boot was announced meanwhile; this answer says nothing of it
        self.orders.record_listing(sent_at=sent_at)
        now = self.leadership.clock()
        self.earlier_calls.record_answer(token, now=now)
        self.lease.record_clock(clock_ms=reply.clock_ms, now=now)
        self.answered_at = self.heard_at = now
        self.ratings.record_contact(self.vm_id)
        if not self.has_acked_term:
            self.has_acked_term = True
            self.term_acked_at = now
            log_event(Event.VM_HELD, vm=self.vm_id, token=token, runs=len(reply.running))
        self.listed_runs = self._select_valid(reply)
        self.listing_sent_at = sent_at
        self.spread_watch.check(self.listed_runs, committed=record.runs, tables=self.leadership.state.tables)
        self.stopping.update(
            listed=self.listed_runs.keys() - record.runs,
            ended=reply.list_ends(),
            sent_at=sent_at,
            answered_at=now,
        )
        self.orders.record_listed(self.listed_runs, now=now)
        self._stop_stalled_runs(now)
        self.pace.update(self.listed_runs, now=now)
        new_ends = [end for end in reply.ends if end.number > record.last_end]
        if new_ends:
            await self._process_ends(record, ends=new_ends)
        await self._resolve_unlisted(record, reply=reply, sent_at=sent_at)
        self.orders.stop_late_starts()
        self.on_change()
        self.poll_limiter.record_poll(now=now)
        if reply.ends and (pause_s := self.poll_limiter.compute_pause_s()):
            await asyncio.sleep(pause_s)

    def _is_in_record(self, boot: int) -> bool:
        return self.record is not None and self.record.boot == boot

    def _select_valid(self, reply: PollReply) -> dict[str, ListedRun]:
        """Returns the listed runs by key, without those that name no task; they must not hold up the others."""
        tables = self.leadership.state.tables
        valid = {
            f"{row.task}/{row.run}": row for row in reply.running if is_known_task(row.task, tables=tables)
        }
        if len(valid) < len(reply.running):
            reason = f"{len(reply.running) - len(valid)} listed runs name no task or are listed twice"
            log_event(Event.INPUT_REFUSED, method="poll", path=self.vm_id, reason=reason)
        return valid

    async def _process_ends(self, record: VmRecord, *, ends: list[ListedEnd]) -> None:
        for listed in ends:
            if listed.number <= self.learned_end:
                continue
            self.learned_end = listed.number
            end = listed.end
            order_state = self.orders.discard_run(f"{end.task}/{end.run}")
            self.orders.late_starts.record_ended(f"{end.task}/{end.run}", boot=record.boot)
            accepted_at = order_state.accepted_at if order_state is not None else None
            self._learn(end, accepted_at=accepted_at)
            if end.outcome is RunOutcome.FAILED:
                self.failures += 1
            elif end.outcome is RunOutcome.DONE:
                self.failures = 0
            if end.outcome is not RunOutcome.DONE:
                log_event(Event.RUN_ENDED, run=f"{end.task}/{end.run}", vm=self.vm_id, outcome=end.outcome)
        await self._propose_ends([listed.end for listed in ends], last_end=ends[-1].number, boot=record.boot)

    def _learn(self, end: RunEnd, *, accepted_at: float | None) -> None:
        tables, now = self.leadership.state.tables, self.leadership.clock()
        if end.outcome is RunOutcome.DONE and accepted_at is not None:
            record_duration(
                end,
                tables=tables,
                scale=self.scale,
                quantiles=self.durations if self.ratings.rating(self.vm_id) is Rating.PREFERRED else None,
                duration_s=now - accepted_at,
            )
        rate_end(
            end,
            vm_id=self.vm_id,
            tables=tables,
            term=self.leadership.term,
            ratings=self.ratings,
            accepted_at=accepted_at,
            now=now,
        )

    def _stop_stalled_runs(self, now: float) -> None:
        workflows = self.leadership.state.tables.workflows
        for row in self.stall_detector.find_stalled(self.listed_runs.values(), workflows=workflows, now=now):
            key = f"{row.task}/{row.run}"
            log_event(Event.RUN_STALLED, run=key, vm=self.vm_id, percent=row.percent)
            self.orders.paused_until = now + STALL_PAUSE_S
            self.orders.request_stop(task=row.task, run=row.run, reason="it makes no progress")

    async def _resolve_unlisted(self, record: VmRecord, *, reply: PollReply, sent_at: float) -> None:
        if not reply.is_complete:
            return
        listed = set(self.listed_runs) | set(reply.list_ends())
        resolved = self.unlisted.resolve(
            record,
            listed=listed,
            sent_at=sent_at,
            answered_at=self.answered_at,
            term_acked_at=self.term_acked_at,
        )
        if resolved:
            await self._propose_ends(resolved)
        if self.record is not None and self.record.lapsed:
            await self._propose_ends([], is_reported=True)
        self._stop_ended_runs(record)

    def _stop_ended_runs(self, record: VmRecord) -> None:
        for key, row in self.listed_runs.items():
            if key not in record.runs:
                # The leader ended the run in the replicated state while the VM was out of contact.
                self.orders.request_stop(task=row.task, run=row.run, reason="its end is already committed")

    async def _propose_ends(
        self,
        ends: list[RunEnd],
        *,
        last_end: int = 0,
        boot: int | None = None,
        is_reported: bool = False,
        lost: LostRuns | None = None,
    ) -> None:
        record = self.record
        if record is None:
            return
        command = EndRuns(
            vm=self.vm_id,
            boot=record.boot if boot is None else boot,
            ends=tuple(ends),
            at_ms=wall_ms(),
            last_end=last_end,
            is_reported=is_reported,
            completes_gangs=True,
            lost_at_work=tuple(sorted(lost.at_work)) if lost is not None else (),
            unconfirmed=tuple(sorted(lost.unconfirmed)) if lost is not None else (),
        )
        await self.leadership.propose(command)
        for end in ends:
            self.orders.discard_run(f"{end.task}/{end.run}")

    async def _end_lapsed_runs(self, record: VmRecord) -> None:
        expired = list_expired_runs(self, record)
        if not expired:
            return
        silent_s = self.leadership.clock() - max(self.answered_at, self.leadership.started_at)
        log_event(Event.LEASE_ENDED, vm=self.vm_id, runs=len(expired), silent_ms=round(silent_s * 1000))
        lost = self.boots.find_lost_runs(replace(record, runs=expired))
        lost.report(reason="its lease ended without contact", counters=self.counters)
        lost.report_evidence()
        self.listed_runs = {key: row for key, row in self.listed_runs.items() if key not in expired}
        self.stopping.add_lapsed(expired)
        await self._propose_ends(make_run_ends(expired, RunOutcome.LAPSED), lost=lost)
        self.on_change()

    def discard_boot(self) -> None:
        """Discards what is known of a boot that has ended."""
        self.has_acked_term = False
        self.is_departing = False
        self.learned_end = 0
        self.listed_runs = {}
        self.listing_sent_at = float("-inf")
        self.ratings.reset(self.vm_id)
        self.orders.discard_boot()
        self.stopping.clear()
        self.stall_detector.clear()
        self.pace.discard_boot()
        self.failures = 0
        self.earlier_calls.begin_boot(is_first=self.boot == 0)

    def _record_silence(self, record: VmRecord, *, reason: str) -> None:
        if self.leadership.clock() - self.answered_at > CONTACT_TIMEOUT_S and self.has_acked_term:
            log_event(Event.VM_SILENT, vm=self.vm_id, address=record.address, reason=reason)
            self.has_acked_term = False
            self.ratings.record_silence(self.vm_id, now=self.leadership.clock())
            self.on_change()


__all__ = ["REMOVE_AFTER_S", "VmLink"]

"""A member of the replicated log.

Implements Raft (Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm", 2014) with
pre-vote, check-quorum and learners (Ongaro, "Consensus: Bridging Theory and Practice", 2014, chapters 4,
6 and 9).
"""

from __future__ import annotations

import asyncio
from concurrent.futures import ThreadPoolExecutor
from functools import partial
from typing import TYPE_CHECKING, Any, TypeVar

from expression import Error, Ok, Result

from hyssopway.control import Outcome
from hyssopway.event import Event, log_event
from hyssopway.result import Failure, ResultCode, WorkState

from .cancellation import defer_cancellation, run_to_completion
from .configuration import Configuration, daemon_of
from .crash_points import crash_point
from .entry import Entry, EntryKind
from .leader_suspicion import LeaderSuspicion
from .membership import next_configuration
from .progress import Progress
from .role import Role
from .snapshot import Snapshot
from .storage_error import StorageError
from .timers import Timers

if TYPE_CHECKING:
    from collections.abc import Callable

    from hyssopway.clock import Clock

    from .membership import MemberChange
    from .state_machine import StateMachine
    from .store import Store

T = TypeVar("T")

APPLY_BATCH = 200


class Member:
    """State of one member and what changes it.

    Attributes:
        daemon: Daemon that carries the member.
        store: Durable state.
        machine: State that committed entries are applied to.
        timers: Durations.
        clock: Monotonic seconds.
        role: Role in the current term.
        leader_id: Leader of the current term as far as known; empty when unknown.
        commit_index: Last index known to be committed.
        applied_index: Last index applied.
        started_at: Local time at which the process started.
        heard_at: Local time of the last message of a leader or of a granted vote.
        granted_at: Local time of the last vote, granted to another member or to itself.
        doubt: Reasons to believe that the leader is gone.
        configuration: Members of the group.
        progress: For a leader, replication by member id.
        progress_changed: Set when `progress` has other members than before.
        waiting: Proposals by index whose outcome is awaited.
        suspended_until: Local time before which the member does not run for election.
        held_up_since: Local time since which a leader's own disk holds up the group.
        term_start: Index of the first entry of a leader's own term.
        lock: Held while durable state changes.
        writer: The one thread that writes to the store.
    """

    def __init__(
        self,
        *,
        daemon: str,
        store: Store,
        state_machine: StateMachine,
        clock: Clock,
        timers: Timers | None = None,
        snapshot_entries: int = 10_000,
        started_at: float | None = None,
    ) -> None:
        self.daemon = daemon
        self.store = store
        self.state_machine = state_machine
        self.clock = clock
        self.timers = timers or Timers()
        self.snapshot_entries = snapshot_entries
        self.role = Role.FOLLOWER
        self.leader_id = ""
        self.commit_index = 0
        self.applied_index = 0
        self.started_at = clock() if started_at is None else started_at
        self.heard_at = self.started_at
        self.vote_granted_at = float("-inf")
        self.leader_suspicion = LeaderSuspicion(clock=clock)
        self.configuration = Configuration()
        self.progress: dict[str, Progress] = {}
        self.progress_changed = asyncio.Event()
        self.pending_proposals: dict[int, tuple[int, asyncio.Future[Outcome | None]]] = {}
        self.term_start_index = 0
        self.candidacy_suspended_until = float("-inf")
        self.disk_lagging_since = float("inf")
        self.lock = asyncio.Lock()
        self.writer = ThreadPoolExecutor(max_workers=1, thread_name_prefix="store")
        self.sync_needed = asyncio.Event()
        self.commit_advanced = asyncio.Event()
        self.ack_received = asyncio.Condition()

    @property
    def member_id(self) -> str:
        """Identity of the member."""
        return self.store.member_id

    @property
    def term(self) -> int:
        """Current term."""
        return self.store.vote.term

    @property
    def is_leader(self) -> bool:
        """Whether this member leads its term."""
        return self.role is Role.LEADER

    @property
    def is_voter(self) -> bool:
        """Whether this member votes."""
        return self.member_id in self.configuration.voters

    @property
    def leader_daemon(self) -> str:
        """Daemon that carries the leader; empty when unknown."""
        return daemon_of(self.leader_id) if self.leader_id else ""

    def open(self, *, initial: Configuration | None) -> None:
        """Reads durable state; `initial` starts a new group."""
        self.store.open(daemon=self.daemon, initial=initial)
        self.configuration = self.store.configuration()
        if self.store.snapshot.index:
            self.state_machine.restore_snapshot(self.store.snapshot.data)
        self.commit_index = self.applied_index = self.store.snapshot.index

    async def propose(self, *, data: bytes, timeout_s: float) -> Result[Outcome, Failure]:
        """Appends a command and waits until it is applied.

        Returns:
            The outcome, or NOT_LEADER when nothing was appended, or OUTCOME_UNKNOWN when the command may
            still be applied.
        """
        return await self.append_entry(Entry(term=self.term, data=data), timeout_s=timeout_s)

    async def append_entry(self, entry: Entry, *, timeout_s: float) -> Result[Outcome, Failure]:
        """Appends an entry as leader and waits until it is applied."""
        if not self.is_leader:
            message = f"leader is {self.leader_daemon}" if self.leader_id else "no leader is known"
            return Error(Failure(code=ResultCode.NOT_LEADER, message=message))
        crash_point("received")
        self.store.entries.append(entry)
        index = self.store.last_index
        if entry.kind is EntryKind.CONFIGURATION:
            self.adopt_configuration()
        future: asyncio.Future[Outcome | None] = asyncio.get_running_loop().create_future()
        self.pending_proposals[index] = (entry.term, future)
        self.sync_needed.set()
        self.wake_replication()
        try:
            await asyncio.wait({future}, timeout=timeout_s)
        finally:
            self.pending_proposals.pop(index, None)
        outcome = future.result() if future.done() else None
        if outcome is None:
            message = "the change was not confirmed by a quorum in time; it may still take effect"
            return Error(
                Failure(code=ResultCode.OUTCOME_UNKNOWN, message=message, work=WorkState.MAY_HAVE_RUN)
            )
        crash_point("answering")
        return Ok(outcome)

    async def change_members(self, change: MemberChange, *, timeout_s: float) -> Result[Outcome, Failure]:
        """Adds, promotes or removes one member and waits until that is committed.

        Returns:
            The outcome; MEMBERSHIP_BUSY while another change is in progress, NOT_CAUGHT_UP for a learner that
            lacks entries, or what `append_entry` returns.
        """
        if not self.is_leader:
            return Error(Failure(code=ResultCode.NOT_LEADER, message="only the leader changes members"))
        match next_configuration(member=self, change=change):
            case Result(tag="ok", ok=configuration) if configuration == self.configuration:
                return Ok(Outcome(index=self.store.configuration_index()))
            case Result(tag="ok", ok=configuration):
                data = configuration.encode()
                entry = Entry(term=self.term, kind=EntryKind.CONFIGURATION, data=data)
                return await self.append_entry(entry, timeout_s=timeout_s)
            case Result(error=failure):
                return Error(failure)

    def quorum_acked_at(self) -> float:
        """Returns the local time up to which this leader surely knows everything committed.

        A quorum answered messages sent at or after that time in this term, so no other leader committed
        anything before it.
        """
        if (
            not self.is_leader
            or self.commit_index < self.term_start_index
            or self.applied_index < self.term_start_index
        ):
            return float("-inf")
        times = sorted(
            (
                self.clock() if voter == self.member_id else self.progress[voter].acked_at
                for voter in self.configuration.voters
            ),
            reverse=True,
        )
        return times[self.configuration.quorum - 1]

    async def read_index(self, *, timeout_s: float) -> Result[int, Failure]:
        """Returns an index that covers every change committed before this call."""
        start = self.clock()
        self.wake_replication()
        try:
            async with asyncio.timeout(timeout_s), self.ack_received:
                await self.ack_received.wait_for(
                    lambda: not self.is_leader or self.quorum_acked_at() >= start
                )
        except TimeoutError:
            pass
        if not self.is_leader or self.quorum_acked_at() < start:
            return Error(Failure(code=ResultCode.NO_QUORUM, message="no quorum confirms the leader"))
        return Ok(self.commit_index)

    def wake_replication(self) -> None:
        """Makes every replication task send at once."""
        for progress in self.progress.values():
            progress.wake.set()

    async def run_write(self, call: Callable[..., T], **arguments: Any) -> T:
        """Runs a blocking call of the store in the member's one writing thread.

        The caller holds the lock. A caller that is cancelled leaves only when the call has ended: until then
        the lock must keep others from the files and from the state that the call reads.
        """
        loop = asyncio.get_running_loop()
        return await defer_cancellation(loop.run_in_executor(self.writer, partial(call, **arguments)))

    def check_running(self) -> None:
        """Refuses calls of others once the member has stopped; the caller holds the lock.

        Raises:
            StorageError: The store is being closed.
        """
        if self.role is Role.STOPPED:
            raise StorageError(f"member {self.member_id} has stopped")

    async def stop(self) -> None:
        """Stops for good and closes the store after the last write has ended.

        Cancelled tasks leave writes behind in threads; closing the files under them would fail these writes
        or, worse, let them reach a file that was opened since.
        """
        async with self.lock:
            self.step_down(reason="the daemon stops")
            self.role = Role.STOPPED
        await asyncio.to_thread(self.writer.shutdown)
        self.store.close()

    async def adopt_term(self, term: int) -> None:
        """Follows a higher term; the caller holds the lock."""
        if term <= self.term or self.role is Role.STOPPED:
            return
        self.step_down(reason=f"term {term} was seen")
        self.leader_id = ""
        await self.run_write(self.store.write_vote, term=term, voted_for="")

    def step_down(self, *, reason: str) -> None:
        """Stops leading or running for election."""
        if self.role is Role.STOPPED:
            return
        if self.is_leader:
            log_event(Event.LEADER_STEPPED_DOWN, term=self.term, reason=reason)
            self.leader_id = ""
        self.role = Role.FOLLOWER
        self.progress = {}
        for _, future in self.pending_proposals.values():
            if not future.done():
                future.set_result(None)

    def become_leader(self) -> None:
        """Starts leading the current term."""
        self.disk_lagging_since = float("inf")
        self.role = Role.LEADER
        self.leader_id = self.member_id
        self.progress = {
            member: Progress(member_id=member, next_index=self.store.last_index + 1)
            for member in self.configuration.members
            if member != self.member_id
        }
        self.progress_changed.set()
        self.store.entries.append(Entry(term=self.term, kind=EntryKind.NO_OPERATION))
        self.term_start_index = self.store.last_index
        self.sync_needed.set()
        log_event(Event.LEADER_ELECTED, term=self.term)

    def adopt_configuration(self) -> None:
        """Takes the latest configuration from the log."""
        configuration = self.store.configuration()
        if configuration == self.configuration:
            return
        self.configuration = configuration
        log_event(Event.MEMBERSHIP_CHANGED, voters=configuration.voters, learners=configuration.learners)
        if self.is_leader:
            for member in configuration.members:
                if member not in self.progress and member != self.member_id:
                    self.progress[member] = Progress(member_id=member, next_index=self.store.last_index + 1)
            for member in set(self.progress) - set(configuration.members):
                del self.progress[member]
            self.progress_changed.set()

    def advance_commit(self) -> None:
        """Commits what a quorum holds, if the leader's own term is reached."""
        matches = sorted(
            (
                self.store.synced_index if voter == self.member_id else self.progress[voter].match_index
                for voter in self.configuration.voters
            ),
            reverse=True,
        )
        # Applying only what is durable here keeps a restart from going back behind what was answered.
        index = min(matches[self.configuration.quorum - 1], self.store.synced_index)
        if index > self.commit_index and self.store.term_at(index) == self.term:
            self.commit_index = index
            self.commit_advanced.set()
            # Followers learn of the commit now and not with the next heartbeat.
            self.wake_replication()

    async def sync_own_log(self) -> None:
        """Writes appended entries, many with one sync, for as long as the member runs."""
        while self.role is not Role.STOPPED:
            await self.sync_needed.wait()
            self.sync_needed.clear()
            async with self.lock:
                if not self.is_leader:
                    continue
                start = self.store.synced_index + 1
                batch = self.store.entries[start - self.store.snapshot.index - 1 :]
                if not batch:
                    continue
                try:
                    await self.run_write(self.store.write_entries, index=start, entries=batch)
                except StorageError as error:
                    self.handle_storage_error(error)
                    continue
            if self.is_leader:
                self.advance_commit()

    async def apply_committed(self) -> None:
        """Applies committed entries for as long as the member runs."""
        while self.role is not Role.STOPPED:
            await self.commit_advanced.wait()
            self.commit_advanced.clear()
            while self.applied_index < self.commit_index:
                for _ in range(min(APPLY_BATCH, self.commit_index - self.applied_index)):
                    self._apply_next()
                await asyncio.sleep(0)
            await self._compact()

    def suspend_candidacy(self) -> None:
        """Leaves elections to members with a working disk for a while.

        A vote fits on a full disk, so a member that could not write its log would win again at once.
        """
        self.candidacy_suspended_until = self.clock() + self.timers.suspend_s

    def handle_storage_error(self, error: StorageError) -> None:
        """Gives up the lead when the disk fails; unsynced entries are forgotten."""
        log_event(Event.STORAGE_FAILED, error=str(error))
        self.suspend_candidacy()
        self.step_down(reason="storage failed")
        self.drop_unsynced()

    def drop_unsynced(self) -> None:
        """Forgets entries that are not durable here."""
        del self.store.entries[self.store.synced_index - self.store.snapshot.index :]
        self.configuration = self.store.configuration()

    def _apply_next(self) -> None:
        index = self.applied_index + 1
        entry = self.store.entries[index - self.store.snapshot.index - 1]
        data = entry.data if entry.kind is EntryKind.COMMAND else b""
        outcome = self.state_machine.apply(index=index, data=data)
        self.applied_index = index
        if entry.kind is EntryKind.COMMAND:
            crash_point("applied")
        term, future = self.pending_proposals.get(index, (0, None))
        if future is not None and not future.done():
            future.set_result(outcome if term == entry.term else None)
        if entry.kind is EntryKind.CONFIGURATION and self.is_leader and not self.is_voter:
            self.step_down(reason="this member was removed")

    async def _compact(self) -> None:
        if self.applied_index - self.store.snapshot.index >= self.snapshot_entries:
            await run_to_completion(self._write_snapshot())

    async def _write_snapshot(self) -> None:
        async with self.lock:
            if self.role is Role.STOPPED:
                return
            index = self.applied_index
            snapshot = Snapshot(
                index=index,
                term=self.store.term_at(index) or 0,
                configuration=self.store.configuration_at(index),
                data=self.state_machine.encode_snapshot(),
            )
            try:
                await self.run_write(self.store.write_snapshot, snapshot=snapshot)
            except StorageError as error:
                self.handle_storage_error(error)
                return
            self.store.adopt_snapshot(snapshot)
        log_event(Event.SNAPSHOT_WRITTEN, index=snapshot.index, size_bytes=len(snapshot.data))


__all__ = ["Member"]

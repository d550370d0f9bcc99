"""A member of the Raft group.

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

from hyssopway.event import Event, log_event
from hyssopway.result import Failure, Outcome, ResultCode, UnsupportedVersionError, WorkState

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
    """State of one member and its transitions.

    Attributes:
        daemon: Name of the daemon that hosts the member.
        store: Durable state.
        state_machine: State machine that committed entries are applied to.
        timers: Timeouts and intervals.
        clock: Clock in monotonic seconds.
        snapshot_entries: Number of applied entries after which a snapshot is written.
        supported_version: Highest version of the replicated state that the state machine supports; reported to the leader,
            which alone knows its meaning.
        role: Role in the current term.
        leader_id: Id of the leader of the current term; empty when unknown.
        is_halted: Whether the state machine does not support the version of the state. The member stores entries and votes
            for others, but it applies nothing and does not campaign.
        commit_index: Last index known to be committed.
        applied_index: Last index applied to the state machine.
        started_at: Local time at which the process started.
        heard_at: Local time of the last message from a leader or of the last vote for another member.
        vote_granted_at: Local time of the last vote, for another member or for itself.
        leader_suspicion: Suspicion that the leader has failed.
        configuration: Voters and learners of the group.
        progress: On a leader, the replication progress by member id.
        progress_changed: Set when members were added to or removed from `progress`.
        pending_proposals: Term and future of each proposal that waits for its outcome, by index.
        candidacy_suspended_until: Local time before which the member does not campaign.
        disk_lagging_since: Local time since which a leader's disk lags behind a quorum of the other voters.
        term_start_index: Index of the first entry of a leader's own term.
        lock: Held while durable state changes.
        writer: Executor with the only thread that writes to the store.
        sync_needed: Set when a leader has appended entries that are not durable yet.
        commit_advanced: Set when `commit_index` has advanced.
        ack_received: Notified when a member has acknowledged a message of this leader.
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
        supported_version: int = 0,
        started_at: float | None = None,
    ) -> None:
        self.daemon = daemon
        self.store = store
        self.state_machine = state_machine
        self.clock = clock
        self.timers = timers or Timers()
        self.snapshot_entries = snapshot_entries
        self.supported_version = supported_version
        self.role = Role.FOLLOWER
        self.leader_id = ""
        self.is_halted = False
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
        """Id of the member."""
        return self.store.member_id

    @property
    def term(self) -> int:
        """Current term."""
        return self.store.vote.term

    @property
    def is_leader(self) -> bool:
        """Whether this member is the leader of its term."""
        return self.role is Role.LEADER

    @property
    def is_voter(self) -> bool:
        """Whether this member is a voter."""
        return self.member_id in self.configuration.voters

    @property
    def leader_daemon(self) -> str:
        """Name of the daemon that hosts the leader; empty when unknown."""
        return daemon_of(self.leader_id) if self.leader_id else ""

    def open(self, *, initial: Configuration | None) -> None:
        """Loads durable state.

        Args:
            initial: Configuration of a new group, for an empty data folder; None for a member that joins later.
        """
        self.store.open(daemon=self.daemon, initial=initial)
        self.configuration = self.store.configuration()
        self.commit_index = self.store.snapshot.index
        if self.store.snapshot.index:
            self.restore_stored_snapshot()

    def restore_stored_snapshot(self) -> None:
        """Loads the stored snapshot into the state machine; halts the member if it does not support it."""
        try:
            self.state_machine.restore_snapshot(self.store.snapshot.data)
        except UnsupportedVersionError as error:
            self.halt(error)
        else:
            self.applied_index = self.store.snapshot.index

    async def propose(self, *, data: bytes, timeout_s: float) -> Result[Outcome, Failure]:
        """Appends a command as leader and waits until it is applied.

        Returns:
            The outcome, NOT_LEADER when nothing was appended, or OUTCOME_UNKNOWN when the command may still be
            applied.
        """
        return await self.append_entry(Entry(term=self.term, data=data), timeout_s=timeout_s)

    async def append_entry(self, entry: Entry, *, timeout_s: float) -> Result[Outcome, Failure]:
        """Appends an entry as leader and waits until it is applied."""
        if not self.is_leader:
            message = f"the leader is {self.leader_daemon}" if self.leader_id else "no leader is known"
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
        """Adds, promotes or removes one member and waits until the change is applied.

        Returns:
            The outcome, a failure of `next_configuration` (such as MEMBERSHIP_BUSY while another change is in
            progress, or NOT_CAUGHT_UP for a learner that lacks entries), or a failure of `append_entry`.
        """
        if not self.is_leader:
            return Error(
                Failure(code=ResultCode.NOT_LEADER, message="only the leader can change the members")
            )
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
        """Returns the local time up to which a quorum has confirmed this leader.

        A quorum has acknowledged messages that were sent at or after that time in this term, so no other leader
        committed anything before it. Returns negative infinity on a member that does not lead, and on a leader
        until the first entry of its term is applied.
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
        """Returns an index that covers every change committed before this call, for a linearizable read."""
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
            return Error(Failure(code=ResultCode.NO_QUORUM, message="no quorum confirmed the leader in time"))
        return Ok(self.commit_index)

    def wake_replication(self) -> None:
        """Wakes the replication tasks so that they send at once."""
        for progress in self.progress.values():
            progress.wake.set()

    async def run_write(self, call: Callable[..., T], **arguments: Any) -> T:
        """Runs a blocking call of the store in the writer thread; the caller holds the lock.

        A cancellation takes effect only after the call has ended: until then the lock must protect the files and the
        state that the call reads.
        """
        loop = asyncio.get_running_loop()
        return await defer_cancellation(loop.run_in_executor(self.writer, partial(call, **arguments)))

    def check_running(self) -> None:
        """Raises an error if the member has stopped; the caller holds the lock.

        Raises:
            StorageError: The member has stopped, and its store is closed or about to be closed.
        """
        if self.role is Role.STOPPED:
            raise StorageError(f"member {self.member_id} has stopped")

    async def stop(self) -> None:
        """Stops the member permanently and closes the store after the last write has ended.

        Writes of cancelled tasks go on in the writer thread. If the files were closed before, these writes would fail
        or, worse, reach another file that has been given the same descriptor.
        """
        async with self.lock:
            self.step_down(reason="the daemon is stopping")
            self.role = Role.STOPPED
        await asyncio.to_thread(self.writer.shutdown)
        self.store.close()

    async def adopt_term(self, term: int) -> None:
        """Steps down and adopts a term if it is higher than the current one; the caller holds the lock."""
        if term <= self.term or self.role is Role.STOPPED:
            return
        self.step_down(reason=f"received a message with higher term {term}")
        self.leader_id = ""
        await self.run_write(self.store.write_vote, term=term, voted_for="")

    def step_down(self, *, reason: str) -> None:
        """Becomes a follower; the outcomes of pending proposals remain unknown."""
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
        """Becomes leader of the current term and appends a no-op entry."""
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
        """Switches to the latest configuration in the log, committed or not."""
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
        """Advances the commit index to the last entry of the own term that a quorum holds."""
        matches = sorted(
            (
                self.store.synced_index if voter == self.member_id else self.progress[voter].match_index
                for voter in self.configuration.voters
            ),
            reverse=True,
        )
        # Only entries that are durable here are committed: otherwise the state after a restart could be older than
        # the state that callers were told about.
        index = min(matches[self.configuration.quorum - 1], self.store.synced_index)
        if index > self.commit_index and self.store.term_at(index) == self.term:
            self.commit_index = index
            self.commit_advanced.set()
            # Followers learn about the commit at once instead of with the next heartbeat.
            self.wake_replication()

    async def sync_own_log(self) -> None:
        """Writes the entries that the leader appended, in batches with one sync each, until the member stops."""
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
        """Applies committed entries and writes snapshots until the member stops."""
        while self.role is not Role.STOPPED:
            await self.commit_advanced.wait()
            self.commit_advanced.clear()
            while self.applied_index < self.commit_index and not self.is_halted:
                self._apply_batch()
                await asyncio.sleep(0)
            await self._compact()

    def halt(self, error: UnsupportedVersionError) -> None:
        """Stops applying entries until the process is replaced by one of a later release, and leaves the lead to others."""
        if not self.is_halted:
            log_event(Event.STATE_UNSUPPORTED, index=self.applied_index + 1, error=str(error))
        self.is_halted = True
        self.step_down(reason="this release does not support the version of the state")

    def suspend_candidacy(self) -> None:
        """Stops the member from campaigning for `suspend_s`, so that a member with a working disk can win.

        A vote still fits on a full disk, so a member that cannot write its log could win every election.
        """
        self.candidacy_suspended_until = self.clock() + self.timers.suspend_s

    def handle_storage_error(self, error: StorageError) -> None:
        """Steps down and drops entries that are not durable after a write has failed."""
        log_event(Event.STORAGE_FAILED, error=str(error))
        self.suspend_candidacy()
        self.step_down(reason="a write to the store failed")
        self.drop_unsynced()

    def drop_unsynced(self) -> None:
        """Drops entries from memory that are not durable here."""
        del self.store.entries[self.store.synced_index - self.store.snapshot.index :]
        self.configuration = self.store.configuration()

    def _apply_batch(self) -> None:
        try:
            for _ in range(min(APPLY_BATCH, self.commit_index - self.applied_index)):
                self._apply_next()
        except UnsupportedVersionError as error:
            self.halt(error)

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
            self.step_down(reason="this member was removed from the group")

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

"""Replication of the log from the leader to the other members."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import TYPE_CHECKING

from hyssopway.event import Event, log_event

from .configuration import daemon_of
from .crash_points import crash_point
from .messages import AppendReply, AppendRequest, SnapshotChunk
from .role import Role
from .snapshot import Snapshot
from .storage_error import StorageError

if TYPE_CHECKING:
    from .member import Member
    from .progress import Progress
    from .snapshot_assembler import SnapshotAssembler
    from .transport import Transport

MAX_BATCH_BYTES = 512 * 1024
SNAPSHOT_CHUNK_BYTES = 1024 * 1024
# With an idle log, the replication task sends slightly later than every heartbeat interval; at a factor of 1.0, every
# second message was sent twice.
HEARTBEAT_DELAY_FACTOR = 1.5


async def run_replication(*, member: Member, transport: Transport) -> None:
    """Runs a replication task for each other member, whenever this member leads, until it stops."""
    tasks: dict[int, asyncio.Task[None]] = {}
    try:
        while member.role is not Role.STOPPED:
            for key, task in list(tasks.items()):
                if task.done():
                    del tasks[key]
            for progress in member.progress.values():
                if id(progress) not in tasks:
                    work = _replicate_to(member=member, transport=transport, progress=progress)
                    task = tasks[id(progress)] = asyncio.create_task(work)
                    task.add_done_callback(lambda _: member.progress_changed.set())
            await member.progress_changed.wait()
            member.progress_changed.clear()
            if any(task.done() for task in tasks.values()):
                # Prevents a tight loop of restarts when a task fails at once.
                await asyncio.sleep(member.timers.heartbeat_s / 4)
    finally:
        for task in tasks.values():
            task.cancel()


async def _replicate_to(*, member: Member, transport: Transport, progress: Progress) -> None:
    async with asyncio.TaskGroup() as group:
        group.create_task(_send_log(member=member, transport=transport, progress=progress))
        group.create_task(_send_heartbeats(member=member, transport=transport, progress=progress))


async def answer_append(*, member: Member, request: AppendRequest) -> AppendReply:
    """Handles entries or a heartbeat; entries are durable before the reply."""
    if request.target != member.member_id:
        # Addressed to a former member of this daemon that lost its disk; this member has a different log.
        return _reply(member, success=False, match_index=0)
    if not request.entries and member.lock.locked() and _is_from_current_leader(member, request):
        # A heartbeat does not wait for a write in progress, so its reply says nothing about the log.
        member.heard_at = member.clock()
        return _reply(member, success=True, match_index=0)
    arrived_at = member.clock()
    async with member.lock:
        member.check_running()
        if request.term < member.term:
            return _reply(member, success=False, match_index=member.store.last_index)
        try:
            await _follow_leader(member, term=request.term, leader=request.leader, arrived_at=arrived_at)
            return await _append_entries(member=member, request=request, arrived_at=arrived_at)
        except StorageError as error:
            member.handle_storage_error(error)
            return _reply(member, success=False, match_index=member.store.synced_index)


def _is_from_current_leader(member: Member, request: AppendRequest) -> bool:
    return member.role is Role.FOLLOWER and request.term == member.term and request.leader == member.leader_id


async def answer_snapshot(
    *, member: Member, assembler: SnapshotAssembler, chunk: SnapshotChunk
) -> AppendReply:
    """Handles a snapshot chunk; installs the snapshot after its last chunk."""
    arrived_at = member.clock()
    async with member.lock:
        member.check_running()
        if chunk.term < member.term:
            return _reply(member, success=False, match_index=0)
        try:
            await _follow_leader(member, term=chunk.term, leader=chunk.leader, arrived_at=arrived_at)
            if not assembler.add(chunk):
                return _reply(member, success=False, match_index=0)
            if chunk.last and chunk.index > member.commit_index:
                await _install_snapshot(member=member, chunk=chunk, data=bytes(assembler.data))
        except StorageError as error:
            member.handle_storage_error(error)
            return _reply(member, success=False, match_index=0)
    return _reply(member, success=True, match_index=chunk.index if chunk.last else 0)


async def _send_log(*, member: Member, transport: Transport, progress: Progress) -> None:
    term = member.term
    while _still_leads(member, term=term, progress=progress):
        progress.wake.clear()
        try:
            if progress.next_index <= member.store.snapshot.index:
                await _send_snapshot(member=member, transport=transport, progress=progress, term=term)
            else:
                await _send_entries(member=member, transport=transport, progress=progress)
        except OSError:
            await asyncio.sleep(member.timers.heartbeat_s)
            continue
        if progress.next_index > member.store.last_index:
            await _wait_for_event(progress.wake, timeout_s=member.timers.heartbeat_s)


def _still_leads(member: Member, *, term: int, progress: Progress) -> bool:
    return member.is_leader and member.term == term and member.progress.get(progress.member_id) is progress


async def _send_heartbeats(*, member: Member, transport: Transport, progress: Progress) -> None:
    """Sends heartbeats while `_send_log` waits for a reply of a member with a slow disk."""
    term = member.term
    while _still_leads(member, term=term, progress=progress):
        sent_at = member.clock()
        if sent_at - progress.sent_at >= member.timers.heartbeat_s * HEARTBEAT_DELAY_FACTOR:
            try:
                reply = await _send_heartbeat(member=member, transport=transport, progress=progress)
            except OSError:
                reply = None
            if reply is not None and reply.term > member.term:
                async with member.lock:
                    await member.adopt_term(reply.term)
            elif reply is not None and reply.member == progress.member_id:
                await _record_ack(member=member, progress=progress, reply=reply, sent_at=sent_at)
        await asyncio.sleep(member.timers.heartbeat_s)


async def _send_heartbeat(*, member: Member, transport: Transport, progress: Progress) -> AppendReply:
    request = AppendRequest(
        term=member.term,
        leader=member.member_id,
        target=progress.member_id,
        previous_index=progress.match_index,
        previous_term=member.store.term_at(progress.match_index) or 0,
        commit_index=0,
    )
    daemon = daemon_of(progress.member_id)
    return await transport.append(daemon=daemon, request=request, timeout_s=member.timers.call_s)


async def _send_entries(*, member: Member, transport: Transport, progress: Progress) -> None:
    previous_index = progress.next_index - 1
    request = AppendRequest(
        term=member.term,
        leader=member.member_id,
        target=progress.member_id,
        previous_index=previous_index,
        previous_term=member.store.term_at(previous_index) or 0,
        commit_index=member.commit_index,
        entries=member.store.read_batch(start=progress.next_index, max_bytes=MAX_BATCH_BYTES),
    )
    sent_at = progress.sent_at = member.clock()
    reply = await transport.append(
        daemon=daemon_of(progress.member_id), request=request, timeout_s=member.timers.call_s
    )
    await _handle_reply(
        member=member,
        progress=progress,
        reply=reply,
        sent_at=sent_at,
        previous_index=previous_index,
        count=len(request.entries),
    )


async def _handle_reply(
    *, member: Member, progress: Progress, reply: AppendReply, sent_at: float, previous_index: int, count: int
) -> None:
    if reply.term > member.term:
        async with member.lock:
            await member.adopt_term(reply.term)
        return
    if not member.is_leader or reply.member != progress.member_id:
        if reply.member != progress.member_id:
            await asyncio.sleep(member.timers.heartbeat_s)
        return
    if reply.success and reply.match_index >= previous_index + count:
        progress.match_index = max(progress.match_index, reply.match_index)
        progress.next_index = progress.match_index + 1
        member.advance_commit()
    elif not reply.success and reply.match_index >= previous_index:
        # The log matches but the member cannot write, so the retry waits for its disk to recover.
        progress.next_index = max(1, reply.match_index + 1)
        await asyncio.sleep(member.timers.heartbeat_s)
    elif not reply.success:
        progress.next_index = max(1, min(progress.next_index - 1, reply.match_index + 1))
    await _record_ack(member=member, progress=progress, reply=reply, sent_at=sent_at)


async def _record_ack(*, member: Member, progress: Progress, reply: AppendReply, sent_at: float) -> None:
    if sent_at >= progress.acked_at:
        # An overtaken reply may come from the process before a restart, of another release.
        progress.acked_at = sent_at
        progress.supported_version = reply.supported_version
    async with member.ack_received:
        member.ack_received.notify_all()


async def _send_snapshot(*, member: Member, transport: Transport, progress: Progress, term: int) -> None:
    snapshot = member.store.snapshot
    daemon = daemon_of(progress.member_id)
    for offset in range(0, max(1, len(snapshot.data)), SNAPSHOT_CHUNK_BYTES):
        part = snapshot.data[offset : offset + SNAPSHOT_CHUNK_BYTES]
        if not _still_leads(member, term=term, progress=progress):
            return  # another member may lead the current term
        chunk = SnapshotChunk(
            term=term,
            leader=member.member_id,
            index=snapshot.index,
            index_term=snapshot.term,
            configuration=snapshot.configuration,
            offset=offset,
            data=part,
            last=offset + len(part) >= len(snapshot.data),
        )
        sent_at = progress.sent_at = member.clock()
        # Longer than for entries: to install a snapshot, the member writes and loads the whole state.
        timeout_s = member.timers.call_s * 5
        reply = await transport.install_snapshot(daemon=daemon, chunk=chunk, timeout_s=timeout_s)
        if not reply.success or reply.term > member.term:
            break
    await _handle_reply(
        member=member,
        progress=progress,
        reply=reply,
        sent_at=sent_at,
        previous_index=-1,
        count=snapshot.index + 1,
    )


async def _follow_leader(member: Member, *, term: int, leader: str, arrived_at: float) -> None:
    await member.adopt_term(term)
    if member.role is not Role.FOLLOWER:
        member.step_down(reason=f"{leader} leads term {term}")
    member.drop_unsynced()
    member.leader_id = leader
    _record_heard(member, arrived_at=arrived_at)


def _record_heard(member: Member, *, arrived_at: float) -> None:
    """Records that the leader was heard when a message arrived, or now unless it is suspected since then.

    A message waits for the lock and for its write. It says nothing about a leader whose process ended meanwhile.
    """
    is_suspected = member.leader_suspicion.is_active(heard_at=arrived_at)
    member.heard_at = max(member.heard_at, arrived_at if is_suspected else member.clock())


async def _append_entries(*, member: Member, request: AppendRequest, arrived_at: float) -> AppendReply:
    store = member.store
    covered_count = store.snapshot.index - request.previous_index
    if covered_count > 0:
        # Entries covered by the own snapshot are committed, so they match. If they were refused, a leader with an
        # older snapshot would send that snapshot again and again.
        request = replace(
            request,
            previous_index=store.snapshot.index,
            previous_term=store.snapshot.term,
            entries=request.entries[covered_count:],
        )
    if store.term_at(request.previous_index) != request.previous_term:
        hint = min(store.last_index, max(member.commit_index, request.previous_index - 1))
        return _reply(member, success=False, match_index=hint)
    start = request.previous_index + 1
    new_entries = list(request.entries)
    while new_entries and store.term_at(start) == new_entries[0].term:
        new_entries.pop(0)
        start += 1
    if new_entries:
        crash_point("received")
        del store.entries[start - store.snapshot.index - 1 :]
        store.synced_index = min(store.synced_index, start - 1)
        store.entries += new_entries
        try:
            await member.run_write(store.write_entries, index=start, entries=new_entries)
        except StorageError:
            del store.entries[start - store.snapshot.index - 1 :]
            raise
        member.adopt_configuration()
        _record_heard(member, arrived_at=arrived_at)
    matched = request.previous_index + len(request.entries)
    if min(request.commit_index, matched) > member.commit_index:
        member.commit_index = min(request.commit_index, matched)
        member.commit_advanced.set()
    return _reply(member, success=True, match_index=matched)


async def _install_snapshot(*, member: Member, chunk: SnapshotChunk, data: bytes) -> None:
    snapshot = Snapshot(
        index=chunk.index, term=chunk.index_term, configuration=chunk.configuration, data=data
    )
    await member.run_write(member.store.write_snapshot, snapshot=snapshot)
    member.store.adopt_snapshot(snapshot)
    member.restore_stored_snapshot()
    member.commit_index = chunk.index
    member.adopt_configuration()
    log_event(Event.SNAPSHOT_INSTALLED, index=chunk.index)


def _reply(member: Member, *, success: bool, match_index: int) -> AppendReply:
    return AppendReply(
        term=member.term,
        success=success,
        match_index=match_index,
        member=member.member_id,
        supported_version=member.supported_version,
    )


async def _wait_for_event(event: asyncio.Event, *, timeout_s: float) -> None:
    # `asyncio.wait_for` creates a task for each wait in Python 3.11.
    try:
        async with asyncio.timeout(timeout_s):
            await event.wait()
    except TimeoutError:
        return


__all__ = ["answer_append", "answer_snapshot", "run_replication"]

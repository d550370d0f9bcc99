"""Keeps a replica current and confirmed."""

from __future__ import annotations

import asyncio
import random
from math import isfinite
from typing import TYPE_CHECKING

from hyssopway.peer import PeerUnreachableError

if TYPE_CHECKING:
    from collections.abc import Callable

    from hyssopway.peer import PeerClient, PeerDirectory, WatchReply

    from .freshness import Freshness
    from .replica import Replica

CONFIRM_INTERVAL_S = 0.5
WATCH_WAIT_S = 0.5
CALL_TIMEOUT_S = 1.0
RETRY_S = 0.2
# A daemon confirms a new watcher only after it has reported it to the leader, which it does every 0.5 s.
PATIENCE_S = 1.5
SNAPSHOT_TIMEOUT_S = 10.0


async def follow_leader(
    *,
    replica: Replica,
    freshness: Freshness,
    peers: PeerDirectory,
    find_leader: Callable[[], str],
    quorum_acked_at: Callable[[], float],
    own_name: str,
) -> None:
    """Confirms the replica of a control member, whose entries come with the log.

    Args:
        replica: Replica fed by the log.
        freshness: What is confirmed.
        peers: Clients of the other daemons.
        find_leader: Returns the daemon that leads; empty when unknown.
        quorum_acked_at: Returns the confirmed time while this daemon leads.
        own_name: Name of this daemon.
    """
    while True:
        leader = find_leader()
        if leader == own_name:
            confirmed_at = quorum_acked_at()
            freshness.confirm(at=confirmed_at)
            if isfinite(confirmed_at):
                freshness.confirm_index(index=replica.applied_index)
        elif leader:
            await _confirm_with(client=peers.client(leader), replica=replica, freshness=freshness)
        freshness.log_validity_change()
        await freshness.wait_interval(_with_jitter(CONFIRM_INTERVAL_S if freshness.is_valid else RETRY_S))


async def follow_upstream(
    *, replica: Replica, freshness: Freshness, peers: PeerDirectory, upstreams: list[str]
) -> None:
    """Feeds and confirms the replica of a daemon without a log.

    Args:
        replica: Replica to feed.
        freshness: What is confirmed.
        peers: Clients of the other daemons.
        upstreams: Daemons to watch, the preferred first; one that fails or is not confirmed itself is
            left for the next.
    """
    position = 0
    useful_at = freshness.clock()
    while True:
        client = peers.client(upstreams[position % len(upstreams)])
        try:
            useful = await _watch_once(client=client, replica=replica, freshness=freshness)
            given_up = freshness.clock() - useful_at > PATIENCE_S
        except PeerUnreachableError:
            useful, given_up = False, True
        freshness.log_validity_change()
        if useful or given_up:
            useful_at = freshness.clock()
        if not useful:
            position += given_up
            await asyncio.sleep(_with_jitter(RETRY_S))


def _with_jitter(seconds: float) -> float:
    # Followers that lost the same daemon do not all come to the next one at the same moment.
    return seconds * random.uniform(0.5, 1.5)


async def _confirm_with(*, client: PeerClient, replica: Replica, freshness: Freshness) -> None:
    sent_at = freshness.clock()
    try:
        reply = await client.confirm(timeout_s=CALL_TIMEOUT_S)
    except PeerUnreachableError:
        return
    await replica.wait_applied_past(reply.commit_index - 1, timeout_s=CALL_TIMEOUT_S)
    if replica.applied_index >= reply.commit_index:
        # The answer was written after it was asked for, so counting from the question is on the safe side.
        freshness.confirm(at=sent_at - reply.confirmed_age_s)
        if isfinite(reply.confirmed_age_s):
            freshness.confirm_index(index=reply.commit_index)


async def _watch_once(*, client: PeerClient, replica: Replica, freshness: Freshness) -> bool:
    sent_at = freshness.clock()
    reply = await client.watch(
        from_index=replica.applied_index, wait_s=WATCH_WAIT_S, timeout_s=WATCH_WAIT_S + CALL_TIMEOUT_S
    )
    if reply.snapshot_size:
        await _read_snapshot(client=client, replica=replica)
        return True
    _apply(reply=reply, replica=replica)
    if replica.applied_index >= reply.applied_index:
        freshness.confirm(at=sent_at + reply.waited_s - reply.confirmed_age_s)
        # The leader does not take back runs of a daemon without a log: its contacts come second-hand.
        freshness.confirm_index(index=replica.applied_index)
    return freshness.is_valid or bool(reply.entries)


def _apply(*, reply: WatchReply, replica: Replica) -> None:
    for offset, data in enumerate(reply.entries):
        index = reply.first_index + offset
        if index == replica.applied_index + 1:
            replica.apply(index=index, data=data)


async def _read_snapshot(*, client: PeerClient, replica: Replica) -> None:
    parts = bytearray()
    index = 0
    while True:
        part = await client.read_snapshot(offset=len(parts), timeout_s=SNAPSHOT_TIMEOUT_S)
        if parts and part.index != index:
            return  # replaced by a later one in the meantime; the next watch starts again
        index = part.index
        parts += part.data
        if len(parts) >= part.total:
            break
        if not part.data:
            return
    replica.restore_snapshot(bytes(parts))


__all__ = ["follow_leader", "follow_upstream"]

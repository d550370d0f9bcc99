"""Keeps a replica up to date and confirms its freshness."""

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
# An upstream confirms a new watcher only after it has reported it to the leader, which it does every 0.5 s.
NO_PROGRESS_TIMEOUT_S = 1.5
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
    """Confirms the replica of a control member, whose entries arrive through the log.

    Args:
        replica: Replica that the log is applied to.
        freshness: Freshness of the replica.
        peers: Clients of the other daemons.
        find_leader: Returns the name of the leader; empty when unknown.
        quorum_acked_at: Returns the local time up to which a quorum confirmed this daemon as leader;
            negative infinity without one.
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
    """Updates and confirms the replica of a daemon without a log.

    Args:
        replica: Replica to update.
        freshness: Freshness of the replica.
        peers: Clients of the other daemons.
        upstreams: Daemons to watch, the preferred one first. The next one takes over from one that fails
            or that is not confirmed itself.
    """
    upstream_index = 0
    last_progress_at = freshness.clock()
    while True:
        client = peers.client(upstreams[upstream_index % len(upstreams)])
        try:
            made_progress = await _watch_once(client=client, replica=replica, freshness=freshness)
            must_switch = freshness.clock() - last_progress_at > NO_PROGRESS_TIMEOUT_S
        except PeerUnreachableError:
            made_progress, must_switch = False, True
        freshness.log_validity_change()
        if made_progress or must_switch:
            last_progress_at = freshness.clock()
        if not made_progress:
            upstream_index += must_switch
            await asyncio.sleep(_with_jitter(RETRY_S))


def _with_jitter(seconds: float) -> float:
    # Keeps followers that lost the same upstream from all calling the next one at the same moment.
    return seconds * random.uniform(0.5, 1.5)


async def _confirm_with(*, client: PeerClient, replica: Replica, freshness: Freshness) -> None:
    sent_at = freshness.clock()
    try:
        reply = await client.confirm(timeout_s=CALL_TIMEOUT_S)
    except PeerUnreachableError:
        return
    await replica.wait_applied_past(reply.commit_index - 1, timeout_s=CALL_TIMEOUT_S)
    if replica.applied_index >= reply.commit_index:
        # The age refers to the time of the reply. Subtracting it from the earlier time of the request errs on
        # the safe side.
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
        # The leader revokes no runs of a daemon without a log, because it learns of that daemon's calls only
        # from other daemons. So no confirmation by the leader itself is needed here.
        freshness.confirm_index(index=replica.applied_index)
    return freshness.is_valid or bool(reply.entries)


def _apply(*, reply: WatchReply, replica: Replica) -> None:
    for offset, data in enumerate(reply.entries):
        index = reply.first_index + offset
        if index == replica.applied_index + 1:
            replica.apply(index=index, data=data)


async def _read_snapshot(*, client: PeerClient, replica: Replica) -> None:
    snapshot = bytearray()
    index = 0
    while True:
        part = await client.read_snapshot(offset=len(snapshot), timeout_s=SNAPSHOT_TIMEOUT_S)
        if snapshot and part.index != index:
            return  # a newer snapshot replaced it in the meantime; the next watch starts over
        index = part.index
        snapshot += part.data
        if len(snapshot) >= part.total:
            break
        if not part.data:
            return
    replica.restore_snapshot(bytes(snapshot))


__all__ = ["follow_leader", "follow_upstream"]

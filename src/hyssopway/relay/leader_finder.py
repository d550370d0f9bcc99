"""Finds the leader by querying control nodes."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING

from hyssopway.event import Event, log_event
from hyssopway.peer import PeerUnreachableError

from .document_limits import DocumentLimits
from .topics import LEADER

if TYPE_CHECKING:
    from collections.abc import Callable

    from hyssopway.clock import Clock

    from .node_directory import ExchangeDirectory

QUERY_TIMEOUT_S = 0.35
QUERY_INTERVAL_S = 0.25
# Interval of queries while no leader is known; requests wait in that time, so it is shorter.
SEARCH_INTERVAL_S = 0.08
# All known control nodes are queried if the leader hasn't confirmed its leadership for this time.
LEADER_TIMEOUT_S = 0.5


class LeaderFinder:
    """Tracks the leader by periodic queries to the known control nodes.

    Attributes:
        directory: Clients for the other nodes.
        known_hosts: Known control nodes, seed hosts first.
        leader: Host of the leader; empty if unknown.
        confirmed_at: Local time in seconds of the latest query in which the leader confirmed its leadership.
        changed: Set while a leader is known.
        limits: Limits of the leader's document; None until a leader has told them.
        handle_limits: Called when `limits` has changed; None to ignore them.
    """

    __slots__ = (
        "changed",
        "clock",
        "confirmed_at",
        "directory",
        "handle_limits",
        "known_hosts",
        "leader",
        "limits",
    )

    def __init__(self, *, directory: ExchangeDirectory, seed_hosts: tuple[str, ...], clock: Clock) -> None:
        self.directory = directory
        self.clock = clock
        self.known_hosts = dict.fromkeys(seed_hosts)
        self.leader = ""
        self.confirmed_at = float("-inf")
        self.changed = asyncio.Event()
        self.limits: DocumentLimits | None = None
        self.handle_limits: Callable[[DocumentLimits], None] | None = None

    def confirmed_age_s(self) -> float:
        """Returns the time in seconds since the leader last confirmed its leadership."""
        return self.clock() - self.confirmed_at

    def set_leader(self, host: str) -> None:
        """Records the leader; an empty host is ignored."""
        if host and host != self.leader:
            log_event(Event.LEADER_FOUND, leader=host)
            self.leader = host
        if host:
            self.known_hosts.setdefault(host)
            self.changed.set()

    def clear_leader(self, host: str, *, reason: str) -> None:
        """Clears the leader if `host` is still recorded as the leader."""
        if self.leader == host and host:
            log_event(Event.LEADER_MISSING, reason=reason)
            self.leader = ""
            self.changed.clear()

    async def run(self) -> None:
        """Queries the leader periodically, or all control nodes while no leader is confirmed."""
        while True:
            if not self.leader or self.confirmed_age_s() > LEADER_TIMEOUT_S:
                await self._query_all()
            else:
                await self._query(self.leader)
            await asyncio.sleep(QUERY_INTERVAL_S if self.leader else SEARCH_INTERVAL_S)

    async def _query_all(self) -> None:
        hosts = list(self.known_hosts)
        await asyncio.gather(*(self._query(host) for host in hosts))
        if self.confirmed_age_s() > LEADER_TIMEOUT_S + QUERY_TIMEOUT_S:
            self.clear_leader(
                self.leader, reason=f"none of {len(hosts)} known control nodes reports a leader that responds"
            )

    async def _query(self, host: str) -> None:
        sent_at = self.clock()
        try:
            data = await self.directory.client(host).exchange(
                topic=LEADER, data=b"", timeout_s=QUERY_TIMEOUT_S
            )
        except PeerUnreachableError:
            return  # retried in the next round; `_query_all` logs if no leader responds
        try:
            members, leads, leader, limits = _decode_answer(data)
        except (ValueError, KeyError, TypeError, RecursionError) as error:
            log_event(Event.INPUT_REFUSED, method=LEADER, path=host, reason=repr(error))
            return
        for member_host in members:
            self.known_hosts.setdefault(member_host)
        if leads:
            self.set_leader(host)
            self.confirmed_at = max(self.confirmed_at, sent_at)
            self._set_limits(limits)
        elif leader != host:
            self.known_hosts.setdefault(leader or host)

    def _set_limits(self, limits: DocumentLimits | None) -> None:
        if limits is not None and limits != self.limits:
            self.limits = limits
            if self.handle_limits is not None:
                self.handle_limits(limits)


def _decode_answer(data: bytes) -> tuple[list[str], bool, str, DocumentLimits | None]:
    answer = json.loads(data)
    members, leads, leader = list(answer["members"]), bool(answer["leads"]), answer["leader"]
    if not all(isinstance(name, str) for name in (*members, leader)):
        raise TypeError("the names of nodes must be strings")
    # Leaders of earlier releases, and one without a document, tell no limits.
    limits = DocumentLimits.decode(answer["limits"]) if answer.get("limits") else None
    return members, leads, leader, limits


__all__ = ["LeaderFinder"]

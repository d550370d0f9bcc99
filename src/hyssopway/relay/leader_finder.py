"""Finds the leader from any node."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING

from hyssopway.event import Event, log_event
from hyssopway.peer import PeerUnreachableError

from .topics import LEADER

if TYPE_CHECKING:
    from hyssopway.clock import Clock

    from .node_directory import NodeDirectory

ASK_TIMEOUT_S = 0.35
CHECK_S = 0.25
# Callers wait while no leader is known.
SEARCH_S = 0.08
# Each miss of the leader's own answer for this long makes the other nodes be asked.
SILENCE_S = 0.5


class LeaderFinder:
    """Keeps track of the leader by asking known control nodes.

    Attributes:
        directory: Clients of other nodes.
        known_hosts: Control nodes heard of, seeds first.
        leader: Node that leads; empty when unknown.
        confirmed_at: Local time at which the leader last said that it leads.
        changed: Set when a leader becomes known.
    """

    __slots__ = ("changed", "clock", "confirmed_at", "directory", "known_hosts", "leader")

    def __init__(self, *, directory: NodeDirectory, seed_hosts: tuple[str, ...], clock: Clock) -> None:
        self.directory = directory
        self.clock = clock
        self.known_hosts = dict.fromkeys(seed_hosts)
        self.leader = ""
        self.confirmed_at = float("-inf")
        self.changed = asyncio.Event()

    def confirmed_age_s(self) -> float:
        """Returns the age of the leader's last word."""
        return self.clock() - self.confirmed_at

    def note_leader(self, host: str) -> None:
        """Takes in who leads, as told by another node."""
        if host and host != self.leader:
            log_event(Event.LEADER_FOUND, leader=host)
            self.leader = host
        if host:
            self.known_hosts.setdefault(host)
            self.changed.set()

    def forget_leader(self, host: str, *, reason: str) -> None:
        """Drops a leader that does not answer or no longer leads."""
        if self.leader == host and host:
            log_event(Event.LEADER_MISSING, reason=reason)
            self.leader = ""
            self.changed.clear()

    async def run(self) -> None:
        """Looks for the leader for as long as the node runs."""
        while True:
            if not self.leader or self.confirmed_age_s() > SILENCE_S:
                await self._ask_all()
            else:
                await self._ask(self.leader)
            await asyncio.sleep(CHECK_S if self.leader else SEARCH_S)

    async def _ask_all(self) -> None:
        hosts = list(self.known_hosts)
        await asyncio.gather(*(self._ask(host) for host in hosts))
        if self.confirmed_age_s() > SILENCE_S + ASK_TIMEOUT_S:
            self.forget_leader(self.leader, reason=f"{len(hosts)} control nodes know none that answers")

    async def _ask(self, host: str) -> None:
        asked_at = self.clock()
        try:
            data = await self.directory.client(host).exchange(topic=LEADER, data=b"", timeout_s=ASK_TIMEOUT_S)
        except PeerUnreachableError:
            return  # the next round asks again; `_ask_all` logs when no node answers
        try:
            answer = json.loads(data)
            members, leads, leader = list(answer["members"]), answer["leads"], answer["leader"]
        except (ValueError, KeyError, TypeError, RecursionError) as error:
            log_event(Event.INPUT_REFUSED, method=LEADER, path=host, reason=repr(error))
            return
        for known in members:
            self.known_hosts.setdefault(known)
        if leads:
            self.note_leader(host)
            self.confirmed_at = max(self.confirmed_at, asked_at)
        elif leader != host:
            self.known_hosts.setdefault(leader or host)


__all__ = ["LeaderFinder"]

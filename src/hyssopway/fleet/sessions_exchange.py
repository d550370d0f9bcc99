"""Collects from all entries how long each worker has been silent."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from pydantic_core import from_json

from hyssopway.peer import PeerUnreachableError

if TYPE_CHECKING:
    from hyssopway.peer import PeerDirectory
    from hyssopway.worker import WorkerSessions

    from .liveness import Liveness

TOPIC = "workers"
CALL_TIMEOUT_S = 1.0


class SessionsExchange:
    """Asks all entries for the silence of their workers.

    Attributes:
        sessions: Sessions of this daemon.
        peers: Clients of the other daemons.
    """

    __slots__ = ("peers", "sessions")

    def __init__(self, *, sessions: WorkerSessions, peers: PeerDirectory) -> None:
        self.sessions = sessions
        self.peers = peers

    def own(self) -> dict[str, float]:
        """Returns the silence in seconds of each worker that synced here."""
        now = self.sessions.clock()
        return {vm: now - session.synced_at for vm, session in self.sessions.sessions.items()}

    async def collect(self, liveness: Liveness) -> None:
        """Asks all entries; one that does not answer leaves its workers silent."""
        liveness.note(silent_s=self.own(), asked_at=self.sessions.clock())
        await asyncio.gather(*(self._ask(name, liveness=liveness) for name in self.peers.clients))

    async def _ask(self, name: str, *, liveness: Liveness) -> None:
        asked_at = self.sessions.clock()
        try:
            data = await self.peers.client(name).exchange(topic=TOPIC, data=b"{}", timeout_s=CALL_TIMEOUT_S)
        except PeerUnreachableError:
            return
        liveness.note(silent_s=from_json(data), asked_at=asked_at)


__all__ = ["TOPIC", "SessionsExchange"]

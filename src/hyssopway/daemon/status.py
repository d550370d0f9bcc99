"""Status of this daemon and of all others."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from pydantic_core import from_json

from hyssopway.metrics import Metrics
from hyssopway.peer import PeerUnreachableError

if TYPE_CHECKING:
    from hyssopway.agreement import Member

    from .daemon import Daemon

CALL_TIMEOUT_S = 1.0


def own_status(daemon: Daemon) -> dict[str, Any]:
    """Returns what other daemons show of this one."""
    member = daemon.member
    state = daemon.replica.state
    return {
        "daemon": daemon.settings.name,
        "zone": daemon.settings.zone,
        "reachable": True,
        "member_id": member.member_id if member else "",
        "has_agreed_state": state.tables.wall_ms > 0 or _changed_members(member),
        "role": member.role if member else "entry",
        "leader": member.leader_daemon if member else daemon.submitter.leader,
        "applied_index": state.applied_index,
        "confirmed": daemon.freshness.is_valid,
        "generation": state.generation(),
        "endpoints": len(daemon.registry.endpoints),
        "workers": len(daemon.sessions.sessions),
        "open_requests": daemon.gateway.open_requests,
        "stopping": daemon.stopping,
        "metrics": daemon.metrics.encode(),
    }


def _changed_members(member: Member | None) -> bool:
    return member is not None and 0 < member.store.configuration_index() <= member.commit_index


async def group_with_state(daemon: Daemon) -> str:
    """Returns a daemon that already knows committed changes; empty when none answers so."""
    statuses = await asyncio.gather(*(_ask(daemon, name=peer.name) for peer in daemon.settings.others()))
    return next((str(status["daemon"]) for status in statuses if status.get("has_agreed_state")), "")


async def collect_status(daemon: Daemon) -> dict[str, Any]:
    """Asks all daemons and merges their metrics."""
    statuses = await asyncio.gather(*(_ask(daemon, name=peer.name) for peer in daemon.settings.peers))
    merged = Metrics()
    for status in statuses:
        if "metrics" in status:
            merged.merge(status.pop("metrics"))
    return {"daemons": statuses, "metrics": merged.summarise()}


async def _ask(daemon: Daemon, *, name: str) -> dict[str, Any]:
    if name == daemon.settings.name:
        return own_status(daemon)
    try:
        client = daemon.peers.client(name)
        answer = await client.exchange(topic="status", data=b"{}", timeout_s=CALL_TIMEOUT_S)
    except PeerUnreachableError as error:
        zone = daemon.settings.peer(name=name).zone
        return {"daemon": name, "zone": zone, "reachable": False, "error": str(error)}
    found: dict[str, Any] = from_json(answer)
    return found


__all__ = ["collect_status", "group_with_state", "own_status"]

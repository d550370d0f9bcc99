"""Status of this daemon and of the whole deployment."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from pydantic_core import from_json

from hyssopway.control.state import TRIAL
from hyssopway.metrics import Metrics
from hyssopway.peer import PeerUnreachableError
from hyssopway.replica.freshness import AUTHORITY_TTL_S

from .fleet_status import describe_fleet

if TYPE_CHECKING:
    from hyssopway.agreement import Member

    from .daemon import Daemon

CALL_TIMEOUT_S = 1.0


def own_status(daemon: Daemon) -> dict[str, Any]:
    """Returns the status of this daemon as it is sent to other daemons."""
    member = daemon.member
    state = daemon.replica.state
    return {
        "daemon": daemon.settings.name,
        "zone": daemon.settings.zone,
        "reachable": True,
        "member_id": member.member_id if member else "",
        "has_agreed_state": state.tables.wall_ms > 0 or _has_committed_configuration(member),
        "role": member.role if member else "entry",
        "leader": member.leader_daemon if member else daemon.group.submitter.leader,
        "applied_index": state.applied_index,
        "confirmed": daemon.freshness.is_valid,
        "generation": state.generation(),
        "trial_generation": state.generation(environment=TRIAL),
        "endpoints": len(daemon.requests.registry.endpoints),
        "workers": len(daemon.jobs.sessions.sessions),
        "open_requests": daemon.requests.gateway.open_requests,
        "stopping": daemon.stopping,
        "metrics": daemon.requests.metrics.encode(),
    }


def _has_committed_configuration(member: Member | None) -> bool:
    return member is not None and 0 < member.store.configuration_index() <= member.commit_index


async def find_initialised_daemon(daemon: Daemon) -> str:
    """Returns the name of another daemon that already has committed state; empty if none reports any."""
    statuses = await asyncio.gather(
        *(_fetch_status(daemon, name=peer.name) for peer in daemon.settings.other_peers())
    )
    return next((str(status["daemon"]) for status in statuses if status.get("has_agreed_state")), "")


async def collect_status(daemon: Daemon, *, index: int | None = None) -> dict[str, Any]:
    """Collects the status of all daemons and merges their metrics.

    Args:
        daemon: The calling daemon.
        index: Log index whose rollout is reported; by default the applied index of this daemon.
    """
    wanted = daemon.replica.state.applied_index if index is None else index
    statuses = await asyncio.gather(
        *(_fetch_status(daemon, name=peer.name) for peer in daemon.settings.peers)
    )
    merged = Metrics()
    for status in statuses:
        if "metrics" in status:
            merged.merge(status.pop("metrics"))
    return {
        "daemons": statuses,
        "metrics": merged.summarise(),
        "rollout": _describe_rollout(daemon, statuses=statuses, index=wanted),
        "fleet": describe_fleet(daemon.replica.state, now_ms=daemon.group.now_ms()),
    }


def _describe_rollout(daemon: Daemon, *, statuses: list[dict[str, Any]], index: int) -> dict[str, Any]:
    reachable = [status for status in statuses if status["reachable"]]
    return {
        "index": index,
        "generation": daemon.replica.state.generation(),
        "in_force": [status["daemon"] for status in reachable if status["applied_index"] >= index],
        "behind": [status["daemon"] for status in reachable if status["applied_index"] < index],
        "unreachable": [status["daemon"] for status in statuses if not status["reachable"]],
        "authority_ttl_s": AUTHORITY_TTL_S,
        "old_ends_in_s": daemon.group.applied_index_history.stale_authority_left_s(index),
    }


async def _fetch_status(daemon: Daemon, *, name: str) -> dict[str, Any]:
    if name == daemon.settings.name:
        return own_status(daemon)
    try:
        client = daemon.group.peers.client(name)
        answer = await client.exchange(topic="status", data=b"{}", timeout_s=CALL_TIMEOUT_S)
    except PeerUnreachableError as error:
        zone = daemon.settings.peer(name=name).zone
        return {"daemon": name, "zone": zone, "reachable": False, "error": str(error)}
    found: dict[str, Any] = from_json(answer)
    return found


__all__ = ["collect_status", "find_initialised_daemon", "own_status"]

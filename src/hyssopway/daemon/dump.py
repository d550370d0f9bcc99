"""State dump of one process."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from hyssopway.agreement import dump_member

if TYPE_CHECKING:
    from .daemon import Daemon


def dump_daemon(daemon: Daemon) -> dict[str, Any]:
    """Returns the state of one process, without secrets."""
    return {
        "daemon": daemon.settings.name,
        "zone": daemon.settings.zone,
        "stopping": daemon.stopping,
        "tasks": {task.get_name(): not task.done() for task in daemon.tasks},
        "agreement": dump_member(daemon.member) if daemon.member else None,
        "freshness_age_s": daemon.freshness.age_s,
        "agreed_state": _dump_state(daemon),
        "endpoints": list(daemon.requests.registry.endpoints.values()),
        "credits": daemon.requests.ledger.grants,
        "queues": daemon.requests.router.dump(),
        "workers": daemon.jobs.sessions.sessions,
        "open_requests": daemon.requests.gateway.open_requests,
        "requests": daemon.listener.memory.read_gauges() if daemon.listener is not None else {},
        "metrics": daemon.requests.metrics.summarise(),
    }


def _dump_state(daemon: Daemon) -> dict[str, Any]:
    tables = daemon.replica.state.tables
    return {
        "applied_index": tables.applied_index,
        "documents": {
            name: {"generation": stored.generation, "digest": stored.digest}
            for name, stored in tables.documents.items()
        },
        "keys": {
            key.key_id: {"team": key.team, "withdrawn": bool(key.withdrawn_by)}
            for key in tables.keys.values()
        },
        "zones": tables.zones,
        "vms": tables.vms,
        "permits": tables.permits,
        "claims": len(tables.claims),
        "jobs": len(tables.jobs),
        "pending": len(daemon.replica.state.indexes.pending),
        "usage": daemon.replica.state.indexes.usage,
    }


__all__ = ["dump_daemon"]

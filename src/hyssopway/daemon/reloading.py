"""Reloads the settings of a running daemon."""

from __future__ import annotations

from dataclasses import fields
from typing import TYPE_CHECKING

from expression import Result

from hyssopway.event import Event, log_event, set_up_logging
from hyssopway.settings import load_settings

if TYPE_CHECKING:
    from pathlib import Path

    from hyssopway.settings import DaemonSettings

    from .daemon import Daemon

RELOADABLE = frozenset(
    {
        "drain_health_s",
        "fleet_token",
        "log_json",
        "log_level",
        "operator_token",
        "peer_token",
    }
)


def reload_settings(daemon: Daemon, *, path: Path) -> None:
    """Reads the settings file again and applies the fields that can change while the daemon runs.

    A file with any problem changes nothing. Changed fields that need a restart keep their values and are
    logged.
    """
    match load_settings(path):
        case Result(tag="ok", ok=settings):
            _apply_settings(daemon, settings=settings)
            log_event(Event.SETTINGS_RELOADED, path=str(path))
        case Result(error=problems):
            for problem in problems:
                log_event(Event.SETTINGS_REJECTED, problem=str(problem))


def _apply_settings(daemon: Daemon, *, settings: DaemonSettings) -> None:
    current = daemon.settings
    changed = {
        field.name
        for field in fields(settings)
        if getattr(current, field.name) != getattr(settings, field.name)
    }
    for name in changed & RELOADABLE:
        setattr(current, name, getattr(settings, name))
    daemon.http.operator_access.token = current.operator_token
    daemon.http.endpoint_routes.token = current.fleet_token
    daemon.http.worker_routes.token = current.fleet_token
    # Open connections stay authenticated; the new secret applies to new connections.
    daemon.peer_server.token = current.peer_token
    for client in daemon.group.peers.clients.values():
        client.token = current.peer_token
    if changed & {"log_level", "log_json"}:
        set_up_logging(level=current.log_level, json_output=current.log_json)
    if changed - RELOADABLE:
        log_event(Event.SETTINGS_NEED_RESTART, fields=", ".join(sorted(changed - RELOADABLE)))


__all__ = ["RELOADABLE", "reload_settings"]

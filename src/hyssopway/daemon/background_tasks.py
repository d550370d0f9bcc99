"""All tasks that run for as long as the daemon."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

from hyssopway.agreement import run_elections, run_replication
from hyssopway.event import Event, log_event
from hyssopway.worker import monitor_leases

from .load_push import push_loads

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from hyssopway.agreement import Member

    from .daemon import Daemon

    Loop = Callable[[], Awaitable[None]]

RESTART_S = 1.0


def start_tasks(daemon: Daemon) -> list[asyncio.Task[None]]:
    """Starts the tasks of a daemon."""
    loops = _list_common(daemon)
    if daemon.member is None:
        loops["watch"] = daemon.group.watch
    else:
        loops |= _list_with_member(daemon, member=daemon.member)
    return [asyncio.create_task(_keep_running(name, loop), name=name) for name, loop in loops.items()]


def _list_common(daemon: Daemon) -> dict[str, Loop]:
    return {
        "expire": daemon.requests.expire,
        "loads": lambda: push_loads(daemon),
        "silence": lambda: monitor_leases(daemon.jobs.sessions),
        "credits": daemon.requests.router.run,
        "summaries": daemon.requests.homes.run,
        "applied_times": daemon.group.sample_index,
    }


def _list_with_member(daemon: Daemon, *, member: Member) -> dict[str, Loop]:
    peers = daemon.group.peers
    rng = random.Random()
    loops: dict[str, Loop] = {
        "sync_log": member.sync_own_log,
        "apply": member.apply_committed,
        "elections": lambda: run_elections(member=member, transport=peers, rng=rng),
        "replication": lambda: run_replication(member=member, transport=peers),
        "confirm": lambda: daemon.group.confirm(member),
        "jobs": daemon.jobs.scheduler.run,
        "lost_homes": daemon.jobs.lost_homes.run,
        "fleet": daemon.fleet.controller.run,
    }
    if daemon.jobs.unordered_runs is not None:
        loops["unordered_runs"] = daemon.jobs.unordered_runs.run
    return loops


async def _keep_running(name: str, loop: Loop) -> None:
    while True:
        try:
            await loop()
            return
        except Exception as error:
            log_event(Event.TASK_FAILED, task=name, error=repr(error))
            await asyncio.sleep(RESTART_S)


__all__ = ["start_tasks"]

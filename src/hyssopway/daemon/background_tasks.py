"""Background tasks that run for the lifetime of the daemon."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

from hyssopway.agreement import run_elections, run_replication
from hyssopway.event import Event, log_event
from hyssopway.worker import monitor_leases

from .load_reports import report_loads

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from hyssopway.agreement import Member

    from .daemon import Daemon

    Loop = Callable[[], Awaitable[None]]

RESTART_DELAY_S = 1.0


def start_tasks(daemon: Daemon) -> list[asyncio.Task[None]]:
    """Starts the background tasks of a daemon and returns them."""
    loops = _common_loops(daemon)
    if daemon.member is None:
        loops["watch"] = daemon.group.watch
    else:
        loops |= _member_loops(daemon, member=daemon.member)
    return [asyncio.create_task(_keep_running(name, loop), name=name) for name, loop in loops.items()]


def _common_loops(daemon: Daemon) -> dict[str, Loop]:
    return {
        "expire": daemon.requests.expire,
        "loads": lambda: report_loads(daemon),
        "silence": lambda: monitor_leases(daemon.jobs.sessions),
        "credits": daemon.requests.router.run,
        "summaries": daemon.requests.homes.run,
        "applied_times": daemon.group.sample_index,
    }


def _member_loops(daemon: Daemon, *, member: Member) -> dict[str, Loop]:
    peers = daemon.group.peers
    rng = random.Random()
    loops: dict[str, Loop] = {
        "sync_log": member.sync_own_log,
        "apply": member.apply_committed,
        "elections": lambda: run_elections(member=member, transport=peers, rng=rng),
        "replication": lambda: run_replication(member=member, transport=peers),
        "confirm": lambda: daemon.group.confirm(member),
        "jobs": daemon.jobs.scheduler.run,
        "lost_homes": daemon.jobs.home_monitor.run,
        "fleet": daemon.fleet.controller.run,
    }
    if daemon.jobs.run_revoker is not None:
        loops["unordered_runs"] = daemon.jobs.run_revoker.run
    return loops


async def _keep_running(name: str, loop: Loop) -> None:
    while True:
        try:
            await loop()
            return
        except Exception as error:
            log_event(Event.TASK_FAILED, task=name, error=repr(error))
            await asyncio.sleep(RESTART_DELAY_S)


__all__ = ["start_tasks"]

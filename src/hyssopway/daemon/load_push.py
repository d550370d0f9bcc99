"""Sends contacts and loads of workers to the leader."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from pydantic_core import from_json, to_json

from hyssopway.document import Resources
from hyssopway.job import TaskUsage
from hyssopway.peer import PeerUnreachableError

if TYPE_CHECKING:
    from .daemon import Daemon

LOAD_TOPIC = "loads"
# A watcher is confirmed only up to its last contact that was reported, so reports bound its freshness of 3 s.
PUSH_S = 0.5
CALL_TIMEOUT_S = 1.0


async def push_loads(daemon: Daemon) -> None:
    """Reports to the leader for as long as the daemon runs."""
    leader = ""
    members = [peer.name for peer in daemon.settings.peers if peer.member]
    attempt = 0
    while True:
        if daemon.group.leads():
            take_loads(daemon, own_loads(daemon))
        else:
            attempt += 1
            known = daemon.member.leader_daemon if daemon.member else leader
            leader = await _push(daemon, target=known or members[attempt % len(members)])
        await asyncio.sleep(PUSH_S)


def own_loads(daemon: Daemon) -> dict[str, Any]:
    """Returns what the leader learns of this daemon.

    A daemon without a log is confirmed by the daemon that it watches, so its watchers' ages travel along.
    """
    now = daemon.group.clock()
    return {
        "daemon": daemon.settings.name,
        "contacts": {name: now - at for name, at in daemon.calls.contacts.items()},
        "vms": {
            vm: [
                [
                    task.job_id,
                    task.epoch,
                    task.usage.cores,
                    task.usage.memory_gb,
                    task.usage.accelerators,
                    task.ran_s,
                ]
                for task in session.report.running
            ]
            for vm, session in daemon.jobs.sessions.sessions.items()
        },
    }


def take_loads(daemon: Daemon, loads: dict[str, Any]) -> dict[str, Any]:
    """Records the report of a daemon and answers who leads."""
    if not daemon.group.leads():
        return {"leader": daemon.member.leader_daemon if daemon.member else ""}
    now = daemon.group.clock()
    contacts = daemon.calls.contacts
    contacts[loads["daemon"]] = now
    for name, age_s in loads["contacts"].items():
        contacts[name] = max(contacts.get(name, now - age_s), now - age_s)
    for vm, rows in loads["vms"].items():
        daemon.jobs.usage.record(vm=vm, tasks=[_to_usage(row) for row in rows])
    return {"leader": daemon.settings.name}


async def _push(daemon: Daemon, *, target: str) -> str:
    if target == daemon.settings.name:
        return ""
    contacts = dict(daemon.calls.contacts)
    try:
        answer = await daemon.group.peers.client(target).exchange(
            topic=LOAD_TOPIC, data=to_json(own_loads(daemon)), timeout_s=CALL_TIMEOUT_S
        )
    except PeerUnreachableError:
        return ""
    leader = str(from_json(answer)["leader"])
    if leader == target and daemon.calls.reported_contacts is not None:
        daemon.calls.reported_contacts |= contacts
    return leader


def _to_usage(row: list[Any]) -> TaskUsage:
    job_id, epoch, cores, memory_gb, accelerators, ran_s = row
    usage = Resources(cores=cores, memory_gb=memory_gb, accelerators=accelerators)
    return TaskUsage(job_id=job_id, epoch=epoch, usage=usage, ran_s=ran_s)


__all__ = ["LOAD_TOPIC", "own_loads", "push_loads", "take_loads"]

"""Reports the contacts of this daemon and the task usage of its workers to the leader."""

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
# A watcher is confirmed only up to its last reported contact, so this interval uses up part of the 3 s for
# which a confirmation gives authority.
REPORT_INTERVAL_S = 0.5
CALL_TIMEOUT_S = 1.0


async def report_loads(daemon: Daemon) -> None:
    """Sends reports to the leader for the lifetime of the daemon."""
    leader = ""
    members = [peer.name for peer in daemon.settings.peers if peer.member]
    attempt = 0
    while True:
        if daemon.group.leads():
            record_load_report(daemon, build_load_report(daemon))
        else:
            attempt += 1
            known = daemon.member.leader_daemon if daemon.member else leader
            leader = await _send_report(daemon, target=known or members[attempt % len(members)])
        await asyncio.sleep(REPORT_INTERVAL_S)


def build_load_report(daemon: Daemon) -> dict[str, Any]:
    """Returns the report of this daemon to the leader.

    A daemon without a log is confirmed by the daemon that it watches, not by the leader. The report therefore
    includes the age of the last contact of each watcher.
    """
    now = daemon.group.clock()
    return {
        "daemon": daemon.settings.name,
        "contacts": {name: now - at for name, at in daemon.peer_calls.contacts.items()},
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


def record_load_report(daemon: Daemon, report: dict[str, Any]) -> dict[str, Any]:
    """Records the report of a daemon and returns the name of the leader, empty if unknown."""
    if not daemon.group.leads():
        return {"leader": daemon.member.leader_daemon if daemon.member else ""}
    now = daemon.group.clock()
    contacts = daemon.peer_calls.contacts
    contacts[report["daemon"]] = now
    for name, age_s in report["contacts"].items():
        contacts[name] = max(contacts.get(name, now - age_s), now - age_s)
    for vm, rows in report["vms"].items():
        daemon.jobs.usage_reports.record(vm=vm, tasks=[_to_usage(row) for row in rows])
    return {"leader": daemon.settings.name}


async def _send_report(daemon: Daemon, *, target: str) -> str:
    if target == daemon.settings.name:
        return ""
    contacts = dict(daemon.peer_calls.contacts)
    try:
        answer = await daemon.group.peers.client(target).exchange(
            topic=LOAD_TOPIC, data=to_json(build_load_report(daemon)), timeout_s=CALL_TIMEOUT_S
        )
    except PeerUnreachableError:
        return ""
    leader = str(from_json(answer)["leader"])
    if leader == target and daemon.peer_calls.reported_contacts is not None:
        daemon.peer_calls.reported_contacts |= contacts
    return leader


def _to_usage(row: list[Any]) -> TaskUsage:
    job_id, epoch, cores, memory_gb, accelerators, ran_s = row
    usage = Resources(cores=cores, memory_gb=memory_gb, accelerators=accelerators)
    return TaskUsage(job_id=job_id, epoch=epoch, usage=usage, ran_s=ran_s)


__all__ = ["LOAD_TOPIC", "build_load_report", "record_load_report", "report_loads"]

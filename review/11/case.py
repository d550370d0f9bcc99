"""Case 11: after two crashes of a rack, tasks wait for minions that are nearly empty."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib-3"))

import fleet  # noqa: E402

# As the site's service "vanplanner" has them: lasting jobs at priority 0, others at priority 1.
QUEUES = [
    {"name": "watch", "priority": 0, "target_latency_ms": 2500, "stretch": 2.2},
    {"name": "plan", "priority": 1, "target_latency_ms": 600, "stretch": 1.6},
]
RACKS = ["r1", "r1", "r1", "r1"]
LASTING_JOBS, TASKS = 3, 4
CPU, MEMORY = 6000, 9000
# Bounds of the rule.
FINISH_S = 14.0
IDLE_S = 3.0


async def crash_rack(one: fleet.Fleet) -> None:
    await asyncio.gather(*(minion.crash(down_s=0.5) for minion in one.minions))


async def case(one: fleet.Fleet, trouble: bool) -> list[str]:
    lasting = [
        await one.submit("watch", count=TASKS, cpu=CPU, memory=MEMORY, work_s=None, may_miss=1)
        for _ in range(LASTING_JOBS)
    ]
    await asyncio.sleep(3.0)
    for job in lasting:
        if len(one.at_work(job)) != TASKS:
            raise fleet.CouldNotRun("a lasting job did not start before the disruption")
    if trouble:
        await crash_rack(one)
    await asyncio.sleep(2.5)
    short = await one.submit("plan", count=1, cpu=CPU, memory=MEMORY, work_s=2.0)
    await asyncio.sleep(0.6)
    if trouble:
        if not one.at_work(short):
            raise fleet.CouldNotRun("the job had not started when the rack crashed again")
        await crash_rack(one)
    await asyncio.sleep(0.5)
    traffic_end = one.record.now()
    one.record.write("END of the traffic")

    await asyncio.sleep(FINISH_S)
    idle_since: float | None = None
    is_answered = False
    while one.record.now() < traffic_end + FINISH_S + IDLE_S + 2.0:
        state = await one.state("plan", short)
        now = one.record.now()
        is_answered = is_answered or state in ("queued", "running", "completed", "failed", "cancelled")
        if state in ("410", "failed", "cancelled"):
            return [f"LOST: {now - traffic_end:.1f} s after the end of the traffic job {short} is answered {state!r}"]
        is_idle = state in ("queued", "running") and not one.at_work(short) and one.is_owed(cpu=CPU, memory=MEMORY)
        if not is_idle:
            idle_since = None
        elif idle_since is None:
            idle_since = now
        elif now - idle_since >= IDLE_S:
            return [
                f"LOST: {now - traffic_end:.1f} s after the end of the traffic job {short} is {state!r} and has had "
                f"nothing running for {IDLE_S} s; in use {one.describe_use()}, it needs {CPU}"
            ]
        await asyncio.sleep(0.1)
    return [] if is_answered else [f"LOST: job {short} got no answer from {FINISH_S} s after the end of the traffic on"]


sys.exit(fleet.play(case, folder=HERE, queues=QUEUES, racks=RACKS))

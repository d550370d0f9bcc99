"""A sound job is given up as failed, because the minions that its task was on have crashed one after another."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

from run import NotRun, main
from standins import KEY, PREFIX, Work

JOB = "5c0e7a21d94b36f8"
CRASHES = 4
# A minion crashes this long after it has begun the task, and is down for `DOWN_S`.
WORKS_S = 3.0
DOWN_S = 0.5


async def case(bed) -> str | None:
    await bed.start(
        minions=[
            {"machine": f"m-{number}", "zone": zone, "rack": f"r{number}", "cpu": 8000}
            for number, zone in enumerate(("amman-a", "amman-b", "zarqa-c", "amman-a", "amman-b", "zarqa-c", "amman-a"))
        ]
    )
    steps = [{"count": 1, "cpu": 6000, "memory_request_mb": 256, "estimated_ms": 700, "long_running": True}]
    bed.world.jobs[JOB] = Work(seconds=0.0, steps=steps)
    status, _ = await bed.caller.call(
        "POST", PREFIX + JOB, key=KEY, body={"specification": "pickups", "steps": steps}
    )
    if status != 200:
        raise NotRun("the job was not accepted")
    state = "running"
    for _ in range(CRASHES):
        minion = await find_minion(bed)
        if minion is None:
            break
        await asyncio.sleep(WORKS_S)
        if bed.is_troubled:
            minion.crash()
            await asyncio.sleep(DOWN_S)
            minion.restart()
            await asyncio.sleep(0.5)
        _, answer = await bed.caller.call("GET", PREFIX + JOB, key=KEY)
        state = answer.get("state", "")
        if state == "failed":
            break
    await asyncio.sleep(3.0)
    _, answer = await bed.caller.call("GET", PREFIX + JOB, key=KEY)
    state = answer.get("state", "")
    failed = [start for start in bed.world.starts if start.how == "failed"]
    if state == "failed" and not failed:
        return (
            f"LOST: the job is shown as failed, although none of its {len(bed.world.starts)} runs has ended failed and "
            "nobody cancelled it"
        )
    return None


async def find_minion(bed):
    """Returns the minion that the task is on; None if it is on none for 10 s."""
    deadline = time.monotonic() + 10.0
    while time.monotonic() < deadline:
        for minion in bed.minions:
            if minion.running:
                return minion
        await asyncio.sleep(0.02)
    return None


main(Path(__file__).resolve().parent, case)

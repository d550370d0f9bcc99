"""A minion that starts again under its id gets a start that was meant for its earlier life; the task then runs twice."""

from __future__ import annotations

import asyncio
import secrets
from pathlib import Path

from run import main
from standins import KEY, PREFIX, Work

DOWN_S = 0.4
ROUNDS = 12


async def case(bed) -> str | None:
    zones = ("amman-a", "amman-b", "zarqa-c", "amman-a", "amman-b", "zarqa-c", "amman-a", "amman-b")
    await bed.start(
        minions=[
            {"machine": f"m-{number}", "zone": zone, "rack": f"r{number}", "cpu": 8000, "keeps_id": True}
            for number, zone in enumerate(zones)
        ]
    )
    load = asyncio.create_task(send_jobs(bed))
    for number in range(ROUNDS):
        await asyncio.sleep(3.0)
        minion = bed.minions[number % len(bed.minions)]
        if bed.is_troubled:
            minion.crash(is_dark=True)
            await asyncio.sleep(DOWN_S)
            minion.restart()
    await asyncio.sleep(3.0)
    load.cancel()
    return find_doubles(bed)


async def send_jobs(bed) -> None:
    step = {"count": 4, "cpu": 2000, "memory_request_mb": 256, "estimated_ms": 1000}
    sending = set()
    while True:
        job = secrets.token_hex(8)
        bed.world.jobs[job] = Work(seconds=1.0, steps=[step])
        body = {"specification": "count", "steps": [step]}
        task = asyncio.create_task(bed.caller.call("POST", PREFIX + job, key=KEY, body=body))
        sending.add(task)
        task.add_done_callback(sending.discard)
        await asyncio.sleep(0.25)


def find_doubles(bed) -> str | None:
    by_task: dict[str, list] = {}
    for start in bed.world.starts:
        by_task.setdefault(start.task, []).append(start)
    found = []
    for task, starts in by_task.items():
        starts.sort(key=lambda start: start.begun)
        for first, second in zip(starts, starts[1:]):
            until = first.ended if first.ended is not None else float("inf")
            if second.begun < until:
                found.append((task, first, second, until))
    if not found:
        return None
    task, first, second, until = found[0]
    return (
        f"TWICE: {len(found)} tasks had two runs at a time; {task} run {first.run} on {first.minion} from "
        f"{first.begun:.3f} to {until:.3f} s, run {second.run} on {second.minion} from {second.begun:.3f} s"
    )


main(Path(__file__).resolve().parent, case)

"""Accepted jobs are answered 410 after a manifest has replaced their route by one with the same host and path prefix."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "lib-2"))

import world as w

# Bounds of the rules, in seconds.
VISIBLE_S, CONFIG_APPLY_S = 3.0, 2.0


async def run(world: w.World) -> str | None:
    step = {"count": 1, "cpu": 1000, "memory_request_mb": 256, "estimated_ms": 20000}
    jobs = [await world.submit("quotes", [step], {"work_s": 20.0, "cpu": 1000}) for _ in range(4)]
    await asyncio.sleep(VISIBLE_S + 0.5)
    manifest = world.manifest(version=5)
    if w.TROUBLE:
        world.record.log("PLANNED  config_change: the route r-quotes is removed, r-quotes-b is added with the same host, prefix and service")
        for route in manifest["routes"]:
            route["name"] += "-b"
    await world.put_manifest(manifest)
    await asyncio.sleep(CONFIG_APPLY_S + 0.5)
    gone = []
    for number, job in enumerate(jobs):
        status, _ = await world.call("GET", f"/quotes/{job}", entry=number)
        if status == 410:
            gone.append(job)
    running = [task for minion in world.minions for task in minion.running]
    world.record.log(f"410 for {len(gone)} of {len(jobs)} jobs; their tasks at work: {len(running)}")
    repeated = {"specification": '{"work_s": 20.0, "cpu": 1000}', "steps": [step]}
    status, answer = await world.call("POST", f"/quotes/{jobs[0]}", body=repeated)
    world.record.log(f"the same POST again: {status} {answer}")
    status, answer = await world.call("DELETE", f"/quotes/{jobs[1]}")
    world.record.log(f"DELETE: {status} {answer}")
    await asyncio.sleep(20)
    done = {entry["task"].partition(".")[0] for entry in world.runs if entry["how"] == "done"}
    world.record.log(f"jobs whose task ended done: {len(done)} of {len(jobs)}")
    for number, job in enumerate(jobs):
        if job in done:
            await world.call("GET", f"/quotes/{job}", entry=number)
    if not gone:
        return None
    return f"LOST: GET is answered 410 for {len(gone)} of {len(jobs)} accepted jobs that nobody had cancelled, while {len(running)} of their tasks were at work"


w.main(__file__, run, services={"quotes": 4})

"""A task that lasts is not started again for long after three minions were lost for good under it."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "lib-2"))

import world as w

LOSSES = 3
LOST_AFTER_S = 2.0  # after the start of a run
WATCHED_S = 30.0  # after the last loss
# The rule holds for a task that lasts from 6 s after its last run, if the 4 s before the 3 s without a run are calm.
FROM_LAST_RUN_S, CALM_BEFORE_S, WITHOUT_RUN_S = 6.0, 4.0, 3.0


async def run(world: w.World) -> str | None:
    job = w.new_job_id()
    victim = f"{job}.0.0.1"
    lost = 0
    losses: set[asyncio.Task] = set()

    async def lose_later(minion: w.Minion) -> None:
        await asyncio.sleep(LOST_AFTER_S)
        world.record.log(f"DISRUPTION  srv_crash (gone dark) of {minion.id}")
        minion.crash_silently()

    def on_start(minion: w.Minion, task: str, _: int) -> None:
        nonlocal lost
        if w.TROUBLE and task == victim and lost < LOSSES:
            lost += 1
            losses.add(asyncio.create_task(lose_later(minion)))

    for minion in world.minions:
        minion.on_start = on_start
    step = {
        "count": 3, "cpu": 4000, "memory_request_mb": 1024, "estimated_ms": 700, "long_running": True,
        "anti_affinity": 1,
    }  # fmt: skip
    await world.submit("quotes", [step], {"lasts": True, "cpu": 4000}, job=job)
    for _ in range(200):
        await asyncio.sleep(0.2)
        if not w.TROUBLE or (lost == LOSSES and all(loss.done() for loss in losses)):
            break
    else:
        raise w.CannotRun("the minions were not lost as planned")
    await asyncio.sleep(WATCHED_S)
    now = world.record.now()
    runs = [entry for entry in world.runs if entry["task"] == victim]
    broken = []
    for entry, following in zip(runs, [*runs[1:], None], strict=True):
        if entry["end"] is None:
            continue
        began = following["began"] if following else now
        # A run ends with its minion, and nothing else is disturbed until the next run has begun.
        start = entry["end"] + max(FROM_LAST_RUN_S, CALM_BEFORE_S)
        world.record.log(f"{victim} has no run from {entry['end']:.2f} s to {began:.2f} s")
        if began - start > WITHOUT_RUN_S:
            broken.append(f"{entry['end']:.1f} s to {began:.1f} s")
    if broken:
        return f"LOST: {victim} has no run from {' and from '.join(broken)}, though five minions or more are up and nearly empty"
    return None


w.main(__file__, run, services={"quotes": 8})

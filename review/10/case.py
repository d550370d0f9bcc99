"""A task that lasts waits for long after its minion, whose rack had restarted a moment before, is lost for good."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "lib-2"))

import world as w

DOWN_S = 0.5
LOST_AFTER_S = 4.0  # from the restart to the loss
WATCHED_S = 24.0
# The rule holds for a task that lasts from 6 s after its last run, if the 4 s before the 3 s without a run are calm.
FROM_LAST_RUN_S, CALM_BEFORE_S, WITHOUT_RUN_S = 6.0, 4.0, 3.0


async def run(world: w.World) -> str | None:
    await asyncio.sleep(14)  # the leader has led for 20 s
    step = {
        "count": 4, "cpu": 4000, "memory_request_mb": 1024, "estimated_ms": 700, "long_running": True,
        "anti_affinity": 1,
    }  # fmt: skip
    rack = [m for m in world.minions if m.rack == world.minions[0].rack]
    if w.TROUBLE:
        await asyncio.gather(*(minion.crash(for_s=DOWN_S, keeps_id=True) for minion in rack))
    restarted_at = world.record.now()
    await asyncio.sleep(2.0)
    await world.submit("quotes", [step], {"lasts": True, "cpu": 4000})
    await asyncio.sleep(0.5)
    minion = next((m for m in rack if m.running), None)
    if minion is None:
        raise w.CannotRun("the restarted minions got no task")
    victims = list(minion.running)
    await asyncio.sleep(max(0.0, restarted_at + LOST_AFTER_S - world.record.now()))
    if w.TROUBLE:
        world.record.log(f"DISRUPTION  srv_crash (gone dark) of {minion.id}, with {', '.join(victims)}")
        minion.crash_silently()
    await asyncio.sleep(WATCHED_S)
    now = world.record.now()
    broken = []
    for task in victims:
        runs = [entry for entry in world.runs if entry["task"] == task]
        for entry, following in zip(runs, [*runs[1:], None], strict=True):
            if entry["end"] is None:
                continue
            began = following["began"] if following else now
            world.record.log(f"{task} has no run from {entry['end']:.2f} s to {began:.2f} s")
            if began - entry["end"] > max(FROM_LAST_RUN_S, CALM_BEFORE_S) + WITHOUT_RUN_S:
                broken.append(f"{task} from {entry['end']:.1f} s to {began:.1f} s")
    if not broken:
        return None
    return f"LOST: a task that lasts has no run, though seven minions are up and nearly empty: {'; '.join(broken)}"


w.main(__file__, run, services={"quotes": 8})

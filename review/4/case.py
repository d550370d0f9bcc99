"""An order to take a zone back, read by a frozen control node, takes effect after the zone was evacuated anew."""

from __future__ import annotations

import asyncio
import secrets
import signal
import time
from pathlib import Path

from cluster import BOUNDS
from run import NotRun, main
from standins import KEY, PREFIX, Work

ZONE = "amman-b"
FREEZE_S = 7.9
EVACUATION_S = BOUNDS["evacuation_ms"] / 1000
CONTACT_S = BOUNDS["contact_ms"] / 1000
JOBS_S = 10.0


async def case(bed) -> str | None:
    zones = ("amman-a", "amman-b", "zarqa-c", "amman-a", "amman-b", "zarqa-c")
    await bed.start(
        minions=[
            {"machine": f"m-{number}", "zone": zone, "rack": f"r{number}", "cpu": 4000}
            for number, zone in enumerate(zones)
        ]
    )
    path = f"/hyssopway/evacuations/{ZONE}"
    if await bed.caller.order("POST", path) is None:
        raise NotRun("the first evacuation was not acknowledged")
    await asyncio.sleep(3.0)
    leader = bed.cluster.find_leader()
    frozen = next(node for node in bed.cluster.controls if node is not leader)
    if bed.is_troubled:
        bed.record.write(f"{frozen.name} freezes")
        frozen.send(signal.SIGSTOP)
    frozen_at = time.monotonic()
    # The operator picks among the nodes; here it picks the frozen one first, and the next after a second.
    if await bed.caller.order("DELETE", path, first=frozen) is None:
        raise NotRun("the zone could not be taken back")
    await asyncio.sleep(2.0)
    acked_at = await bed.caller.order("POST", path, first=leader)
    if acked_at is None:
        raise NotRun("the second evacuation was not acknowledged")
    await asyncio.sleep(max(0.0, frozen_at + FREEZE_S - time.monotonic()))
    if bed.is_troubled:
        frozen.send(signal.SIGCONT)
        bed.record.write(f"{frozen.name} wakes")
    woken_at = bed.record.now()
    # From here on all machines are in touch again, and the evacuation has had its time.
    due_at = max(acked_at + EVACUATION_S, woken_at + 2 * CONTACT_S) + 1.0
    await asyncio.sleep(due_at - bed.record.now())
    bed.record.write(f"{ZONE} has been evacuated for {due_at - acked_at:.1f} s; jobs are sent")
    await send_jobs(bed)
    minions = {minion.minion_id for minion in bed.minions if minion.zone == ZONE}
    broken = [start for start in bed.world.starts if start.minion in minions and start.begun >= due_at]
    if not bed.world.starts:
        raise NotRun("no task was started at all")
    if not broken:
        return None
    return (
        f"EVAC: {len(broken)} tasks were started in {ZONE}, the first {broken[0].begun - acked_at:.1f} s after the ack "
        f"of its evacuation, which was not taken back"
    )


async def send_jobs(bed) -> None:
    step = {"count": 4, "cpu": 2000, "memory_request_mb": 256, "estimated_ms": 1000}
    deadline = time.monotonic() + JOBS_S
    while time.monotonic() < deadline:
        job = secrets.token_hex(8)
        bed.world.jobs[job] = Work(seconds=1.0, steps=[step])
        await bed.caller.call("POST", PREFIX + job, key=KEY, body={"specification": "count", "steps": [step]})
        await asyncio.sleep(0.35)  # more than the other zones have room for


main(Path(__file__).resolve().parent, case)

"""Submits jobs at a steady rate."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    import aiohttp

INTERVAL_S = 0.125


async def submit_jobs(
    session: aiohttp.ClientSession,
    *,
    url: str,
    key: str,
    pools: Sequence[str],
    accepted: list[str],
    duration_s: float,
) -> None:
    """Submits eight jobs a second for a bounded time; every other job of a pool can be checkpointed.

    Args:
        session: HTTP session.
        url: Base URL of an entry VM.
        key: Key of a team.
        pools: Pools that the jobs are distributed over in round-robin order.
        accepted: List that the IDs of accepted jobs are appended to.
        duration_s: Seconds after which no more jobs are submitted.
    """
    headers = {"Authorization": f"Bearer {key}"}
    for number in range(int(duration_s / INTERVAL_S)):
        spec = {
            "task_kind": "plan",
            "pool": pools[number % len(pools)],
            "resources": {"cores": 4, "memory_gb": 8},
            "run_s": 100,
            "checkpointable": number // len(pools) % 2 == 0,
        }
        async with session.post(f"{url}/v1/jobs", json=spec, headers=headers) as answer:
            if answer.status == 202:
                accepted.append((await answer.json())["job_id"])
        await asyncio.sleep(INTERVAL_S)


__all__ = ["submit_jobs"]

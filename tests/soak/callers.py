"""Callers that hand in jobs, send them again, ask for them and cancel them."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Any

import aiohttp

from .truth import Job

if TYPE_CHECKING:
    import random

    from .truth import Truth

TIMEOUT_S = 3.0
VISIBLE_S = 3.0
TRIES = 4
HEADERS = {"Host": "a.example", "Authorization": "Bearer key-1", "X-Hyssopway-Deadline": "3000"}


class Callers:
    """All callers of a run.

    Attributes:
        truth: Knows the jobs.
        rng: Chooses jobs.
        entries: Addresses of the entries, as callers reach them.
        session: Connections, which stay open.
        tasks: Callers at work.
        acked_at: Local time of the first acknowledgement by job.
        answers: Number of answers by status; 0 for none.
    """

    def __init__(self, *, truth: Truth, rng: random.Random, entries: list[str]) -> None:
        self.truth = truth
        self.rng = rng
        self.entries = entries
        self.session: aiohttp.ClientSession | None = None
        self.tasks: set[asyncio.Task[None]] = set()
        self.acked_at: dict[str, float] = {}
        self.answers: dict[int, int] = {}

    async def run(self, *, for_s: float, rate_per_s: float) -> None:
        """Hands in jobs for some seconds."""
        until = time.monotonic() + for_s
        while time.monotonic() < until:
            task = asyncio.create_task(self._serve_one())
            self.tasks.add(task)
            task.add_done_callback(self._note_end)
            await asyncio.sleep(self.rng.expovariate(rate_per_s))

    async def open(self) -> None:
        """Prepares connections."""
        self.session = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=TIMEOUT_S))

    async def close(self) -> None:
        """Ends all callers."""
        for task in list(self.tasks):
            task.cancel()
        if self.session is not None:
            await self.session.close()

    async def ask_state(self, job_id: str) -> str:
        """Asks for the state of a job; empty without an answer."""
        status, answer = await self._call("GET", job_id)
        state: str = answer.get("state", "") if status == 200 else ""
        if state:
            self.truth.take_state(job_id, state)
        acked_at = self.acked_at.get(job_id, float("inf"))
        if status == 410 and time.monotonic() - acked_at > VISIBLE_S + TIMEOUT_S:
            self.truth.broken.append(f"LOST: {job_id} is answered 410 after its acknowledgement")
        return state

    def _note_end(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.truth.broken.append(f"a caller of the soak failed: {task.exception()!r}")

    async def _serve_one(self) -> None:
        job_id = f"{self.rng.getrandbits(64):016x}"
        steps = tuple(self.rng.choice((1, 1, 2, 4)) for _ in range(self.rng.choice((1, 1, 2, 3))))
        job = Job(steps=steps, duplicates=self.rng.random() < 0.2)
        self.truth.jobs[job_id] = job
        duration_s = self.rng.choice((0.1, 0.3, 0.8))
        body = {
            "specification": f"{self.rng.choice((250, 500, 1000))} {duration_s}",
            "steps": [
                {
                    "count": count,
                    "cpu": 1000,
                    "memory_request_mb": 100,
                    "estimated_ms": round(duration_s * 1000),
                    **({"after": [number - 1]} if number else {}),
                    **({"allow_duplicates": True} if job.duplicates else {}),
                }
                for number, count in enumerate(steps)
            ],
        }
        await self._hand_in(job_id, job=job, body=body)
        if not job.accepted:
            return
        if self.rng.random() < 0.1:
            await asyncio.sleep(self.rng.uniform(0.0, 1.0))
            await self._cancel(job_id, job=job)
        while job.state not in ("completed", "failed", "cancelled"):
            await asyncio.sleep(self.rng.uniform(0.3, 1.0))
            await self.ask_state(job_id)

    async def _hand_in(self, job_id: str, *, job: Job, body: dict[str, Any]) -> None:
        for _ in range(TRIES):
            status, _answer = await self._call("POST", job_id, body=body)
            if status == 200:
                job.accepted, job.refused = True, False
                self.acked_at.setdefault(job_id, time.monotonic())
                if self.rng.random() < 0.1:
                    await self._call("POST", job_id, body=body)  # a late resend
                return
            if status not in (429, 503):
                job.refused = False  # it may have been accepted
            await asyncio.sleep(self.rng.uniform(0.1, 0.5))

    async def _cancel(self, job_id: str, *, job: Job) -> None:
        job.cancel_asked = True
        for _ in range(TRIES):
            status, _answer = await self._call("DELETE", job_id)
            if status == 200:
                job.cancel_acked_at = min(job.cancel_acked_at, time.monotonic())
                return
            if status == 410:
                self.truth.broken.append(f"LOST: the cancel of {job_id} is answered 410")

    async def _call(
        self, method: str, job_id: str, *, body: dict[str, Any] | None = None
    ) -> tuple[int, dict[str, Any]]:
        """Returns status and answer; status 0 without a whole answer."""
        if self.session is None:
            raise RuntimeError("the callers are not open")
        url = f"http://{self.rng.choice(self.entries)}/p/{job_id}"
        try:
            async with self.session.request(method, url, json=body, headers=HEADERS) as response:
                answer = await response.json()
                status = response.status
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            status, answer = 0, {}
        self.answers[status] = self.answers.get(status, 0) + 1
        return status, answer


__all__ = ["Callers"]

"""Callers that submit, retry, poll and cancel jobs."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Any

import aiohttp

from .job_kinds import PATH_PREFIXES

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from .invariant_checker import InvariantChecker, Job
    from .job_kinds import Submission

TIMEOUT_S = 3.0
VISIBILITY_TIMEOUT_S = 3.0
SEND_ATTEMPTS = 4
# One job in so many uses the key that is withdrawn at times.
JOBS_PER_GUEST_JOB = 5
GUEST_KEY = "key-2"
# Statuses that promise that the job does not run.
REFUSALS = (401, 429, 503)
HEADERS = {"Host": "a.example", "X-Hyssopway-Deadline": "3000"}


class Callers:
    """Simulates the callers of one kind of job of a soak run.

    Attributes:
        checker: Records the jobs and checks what callers are told.
        rng: Random source for jobs, entry VMs and delays.
        entries: Addresses of the entry VMs as ``IP:PORT``, each behind a proxy.
        make_job: Returns the job of an ID.
        session: HTTP session with persistent connections; None until `open`.
        tasks: Running callers, one for each job.
        acked_at: Monotonic time in seconds of the first acknowledgement, by job ID.
        answers: Number of responses by HTTP status; status 0 counts calls without a complete response.
    """

    def __init__(
        self,
        *,
        checker: InvariantChecker,
        rng: random.Random,
        entries: list[str],
        make_job: Callable[[random.Random, str], Submission],
    ) -> None:
        self.checker = checker
        self.rng = rng
        self.entries = entries
        self.make_job = make_job
        self.session: aiohttp.ClientSession | None = None
        self.tasks: set[asyncio.Task[None]] = set()
        self.acked_at: dict[str, float] = {}
        self.answers: dict[int, int] = {}

    async def run(self, *, for_s: float, rate_per_s: float) -> None:
        """Submits jobs at random intervals.

        Args:
            for_s: Duration in seconds.
            rate_per_s: Mean number of jobs per second.
        """
        deadline = time.monotonic() + for_s
        while time.monotonic() < deadline:
            task = asyncio.create_task(self._run_job())
            self.tasks.add(task)
            task.add_done_callback(self._on_task_end)
            await asyncio.sleep(self.rng.expovariate(rate_per_s))

    async def open(self) -> None:
        """Opens the HTTP session."""
        self.session = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=TIMEOUT_S))

    async def close(self) -> None:
        """Cancels all callers and closes the session."""
        for task in list(self.tasks):
            task.cancel()
        if self.session is not None:
            await self.session.close()

    async def fetch_state(self, job_id: str) -> str:
        """Returns the state of a job, or an empty string without a successful response."""
        status, response_body = await self._call("GET", job_id)
        state: str = response_body.get("state", "") if status == 200 else ""
        if state:
            self.checker.check_state(job_id, state)
        acked_at = self.acked_at.get(job_id, float("inf"))
        if status == 410 and time.monotonic() - acked_at > VISIBILITY_TIMEOUT_S + TIMEOUT_S:
            self.checker.broken.append(f"LOST: {job_id} returned 410 after its acknowledgement")
        return state

    def _on_task_end(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.checker.broken.append(f"a soak caller failed: {task.exception()!r}")

    async def _run_job(self) -> None:
        job_id = f"{self.rng.getrandbits(64):016x}"
        submission = self.make_job(self.rng, job_id)
        job = self.checker.jobs[job_id] = submission.job
        await self._submit(job_id, job=job, body=submission.body)
        if not job.accepted:
            return
        if self.rng.random() < 0.1:
            await asyncio.sleep(self.rng.uniform(0.0, 1.0))
            await self._cancel(job_id, job=job)
        await asyncio.sleep(submission.cancel_after_s)
        while submission.cancel_after_s and job.cancel_acked_at == float("inf"):
            await self._cancel(job_id, job=job)
        while job.state not in ("completed", "failed", "cancelled"):
            await asyncio.sleep(self.rng.uniform(0.3, 1.0))
            await self.fetch_state(job_id)

    async def _submit(self, job_id: str, *, job: Job, body: dict[str, Any]) -> None:
        for _ in range(SEND_ATTEMPTS):
            status, _body = await self._call("POST", job_id, body=body)
            if status == 200:
                job.accepted, job.refused = True, False
                self.acked_at.setdefault(job_id, time.monotonic())
                if self.rng.random() < 0.1:
                    # A duplicate submission after the acknowledgement.
                    await self._call("POST", job_id, body=body)
                return
            if status not in REFUSALS:
                job.refused = False  # the job may have been accepted
            await asyncio.sleep(self.rng.uniform(0.1, 0.5))

    async def _cancel(self, job_id: str, *, job: Job) -> None:
        job.cancel_requested = True
        for _ in range(SEND_ATTEMPTS):
            status, _body = await self._call("DELETE", job_id)
            if status == 200:
                job.cancel_acked_at = min(job.cancel_acked_at, time.monotonic())
                return
            if status == 410:
                self.checker.broken.append(f"LOST: cancelling {job_id} returned 410")

    async def _call(
        self, method: str, job_id: str, *, body: dict[str, Any] | None = None
    ) -> tuple[int, dict[str, Any]]:
        """Returns the HTTP status and body; status 0 without a complete JSON response."""
        if self.session is None:
            raise RuntimeError("open() must be called before sending requests")
        headers = HEADERS | {"Authorization": f"Bearer {_choose_key(job_id)}"}
        path_prefix = PATH_PREFIXES[self.checker.jobs[job_id].queue]
        url = f"http://{self.rng.choice(self.entries)}{path_prefix}{job_id}"
        try:
            async with self.session.request(method, url, json=body, headers=headers) as response:
                response_body = await response.json()
                status = response.status
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            status, response_body = 0, {}
        self.answers[status] = self.answers.get(status, 0) + 1
        return status, response_body


def _choose_key(job_id: str) -> str:
    # Two teams, so that shares apply while the VMs are full, and a guest whose key is withdrawn at times.
    return GUEST_KEY if int(job_id, 16) % JOBS_PER_GUEST_JOB == 0 else f"key-{int(job_id, 16) % 2}"


__all__ = ["Callers"]

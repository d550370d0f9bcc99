"""What really happened on the worker VMs, and the promises that it must keep."""

from __future__ import annotations

import time
from collections import Counter
from dataclasses import dataclass, field


@dataclass(slots=True, kw_only=True)
class Job:
    """A job as its caller knows it.

    Attributes:
        steps: Number of tasks of each step; each step waits for the one before.
        duplicates: Whether copies of a task may run.
        accepted: Whether a hand-in was acknowledged.
        refused: Whether each answer so far said that it was not accepted.
        cancel_acked_at: Local time at which a cancel was acknowledged.
        cancel_asked: Whether a cancel was sent.
        state: State that was shown last.
    """

    steps: tuple[int, ...]
    duplicates: bool
    accepted: bool = False
    refused: bool = True
    cancel_acked_at: float = float("inf")
    cancel_asked: bool = False
    state: str = ""


@dataclass(slots=True, kw_only=True)
class Truth:
    """Counts starts and ends, and notes each broken promise once.

    Attributes:
        max_attempts: Failures after which a job fails.
        cancel_s: Time after a cancel within which starts may still come.
        jobs: Jobs by identity.
        running: VM of each run that works now, by task and number of the run.
        done: Tasks that ended done.
        failures: Failures by task.
        highest: Highest run number by task.
        broken: Broken promises.
        starts: Number of starts.
    """

    max_attempts: int
    cancel_s: float = 4.0
    jobs: dict[str, Job] = field(default_factory=dict)
    running: dict[str, dict[int, str]] = field(default_factory=dict)
    done: set[str] = field(default_factory=set)
    failures: Counter[str] = field(default_factory=Counter)
    highest: dict[str, int] = field(default_factory=dict)
    broken: list[str] = field(default_factory=list)
    starts: int = 0

    def start(self, *, task: str, run: int, vm: str, is_late: bool) -> None:
        """Takes in a start on a VM.

        Args:
            task: Name of the task.
            run: Number of the run.
            vm: The VM.
            is_late: Whether the VM carried the order out late; promises with a time bound do not cover that.
        """
        self.starts += 1
        job_id, _, step, _ = task.split(".")
        job = self.jobs.get(job_id)
        if job is None:
            self.broken.append(f"UNASKED: {task} of a job that nobody handed in")
            return
        others = self.running.setdefault(task, {})
        if others and not job.duplicates:
            self.broken.append(f"TWICE: run {run} of {task} starts on {vm} while {others} work")
        if run in others or (run <= self.highest.get(task, 0) and not is_late):
            self.broken.append(f"TWICE: run {run} of {task} starts again, {self.highest[task]} was seen")
        if self.failures[task] >= self.max_attempts:
            self.broken.append(f"BUDGET: {task} starts after {self.failures[task]} failures")
        if int(step) and not self._is_step_done(job_id, step=int(step) - 1):
            self.broken.append(f"ORDER: {task} starts before step {int(step) - 1} is done")
        if not is_late and time.monotonic() - job.cancel_acked_at > self.cancel_s:
            self.broken.append(f"UNASKED: {task} starts long after its cancel")
        self.highest[task] = max(run, self.highest.get(task, 0))
        others[run] = vm

    def end(self, *, task: str, run: int, how: str) -> None:
        """Takes in an end on a VM."""
        self.running.get(task, {}).pop(run, None)
        if how == "done":
            self.done.add(task)
        if how == "failed":
            self.failures[task] += 1

    def take_state(self, job_id: str, state: str) -> None:
        """Takes in what a caller was shown."""
        job = self.jobs[job_id]
        job.state = state
        if state == "completed" and not all(
            self._is_step_done(job_id, step=step) for step in range(len(job.steps))
        ):
            self.broken.append(f"LOST: {job_id} is shown as completed, but not all of its tasks ended done")
        if state == "cancelled" and not job.cancel_asked:
            self.broken.append(f"LOST: {job_id} is shown as cancelled without cause")
        is_exhausted = any(
            count >= self.max_attempts
            for task, count in self.failures.items()
            if task.split(".", maxsplit=1)[0] == job_id
        )
        if state == "failed" and not is_exhausted:
            self.broken.append(f"LOST: {job_id} is shown as failed without cause")

    def check_refused(self) -> None:
        """Checks that nothing ran of jobs whose every answer was a refusal."""
        started = {task.split(".", maxsplit=1)[0] for task in self.highest}
        self.broken += [
            f"UNASKED: {job_id} ran, and each answer said that it was refused"
            for job_id, job in self.jobs.items()
            if job.refused and not job.accepted and job_id in started
        ]

    def _is_step_done(self, job_id: str, *, step: int) -> bool:
        count = self.jobs[job_id].steps[step]
        return all(f"{job_id}.0.{step}.{index}" in self.done for index in range(count))


__all__ = ["Job", "Truth"]

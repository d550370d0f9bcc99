"""Checks the guarantees of the platform against the runs observed on the worker VMs."""

from __future__ import annotations

import time
from collections import Counter
from dataclasses import dataclass, field
from datetime import UTC, datetime

# A task may start twice more after this many VMs have crashed under it.
CRASHES = 3
STARTS_AFTER_CRASHES = 3
# A job may fail when this many VMs have crashed under one of its tasks.
MIN_CRASHES = 2


@dataclass(slots=True, kw_only=True)
class Job:
    """A job as known to its caller.

    Attributes:
        steps: Number of tasks of each step; a step starts after the previous one.
        duplicates: Whether duplicate runs of a task are allowed.
        lasts: Whether the tasks run until the job is cancelled; they have no limit of failures.
        queue: Queue of the job.
        spread_limit: Maximum number of tasks of a step on one VM; 0 for no limit.
        label: Label that the VM of a task must have; empty for any VM.
        accepted: Whether a submission was acknowledged.
        refused: Whether every response so far refused the job.
        cancel_acked_at: Monotonic time in seconds of the first acknowledged cancellation.
        cancel_requested: Whether a cancellation was sent.
        state: State that the caller was told last.
    """

    steps: tuple[int, ...]
    duplicates: bool
    lasts: bool = False
    queue: str = ""
    spread_limit: int = 0
    label: str = ""
    accepted: bool = False
    refused: bool = True
    cancel_acked_at: float = float("inf")
    cancel_requested: bool = False
    state: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class VmTraits:
    """What decides which tasks may run on a VM.

    Attributes:
        pool: Pool of the VM.
        labels: Labels of the VM.
    """

    pool: str
    labels: tuple[str, ...]


@dataclass(slots=True, kw_only=True)
class InvariantChecker:
    """Records starts and ends of runs, and every violation of a guarantee.

    Attributes:
        max_attempts: Failures after which a job fails.
        cancel_s: Seconds after an acknowledged cancellation in which runs may still start.
        jobs: Jobs by ID.
        running: VM of each active run, by task and run number.
        done: Tasks that completed.
        failures: Number of failed runs by task.
        forgotten_failures: Number of these whose VM crashed before their end was taken note of, by task.
        crashes: Number of VMs that crashed while they ran a task, by task.
        starts_after_crashes: Number of starts after `CRASHES` of these, by task.
        highest_run: Highest run number by task.
        seen_runs: Runs that have started.
        forgotten_runs: Runs whose VM crashed while they were active, or before their end was taken note of. The VM's next
            boot may start the same run again.
        starts_after_done: Starts of the same task since a run ended `done`, by task and run number; without ends that nobody
            can take note of any more.
        noted: Runs that ended `done` and whose end a sender took note of.
        broken: Violations, each prefixed with the name of the guarantee.
        starts: Number of started runs.
        vm_traits: Pool and labels by VM ID.
        queue_pools: Pools to which any document that was sent leads a queue, by queue.
        run_log: Starts and ends of runs on the VMs, each with the time of day.
    """

    max_attempts: int
    cancel_s: float = 4.0
    jobs: dict[str, Job] = field(default_factory=dict)
    running: dict[str, dict[int, str]] = field(default_factory=dict)
    done: set[str] = field(default_factory=set)
    failures: Counter[str] = field(default_factory=Counter)
    forgotten_failures: Counter[str] = field(default_factory=Counter)
    crashes: Counter[str] = field(default_factory=Counter)
    starts_after_crashes: Counter[str] = field(default_factory=Counter)
    highest_run: dict[str, int] = field(default_factory=dict)
    seen_runs: set[tuple[str, int]] = field(default_factory=set)
    forgotten_runs: set[tuple[str, int]] = field(default_factory=set)
    starts_after_done: dict[tuple[str, int], list[str]] = field(default_factory=dict)
    noted: set[tuple[str, int]] = field(default_factory=set)
    broken: list[str] = field(default_factory=list)
    starts: int = 0
    vm_traits: dict[str, VmTraits] = field(default_factory=dict)
    queue_pools: dict[str, set[str]] = field(default_factory=dict)
    run_log: list[str] = field(default_factory=list)

    def record_start(self, *, task: str, run: int, vm: str, is_late: bool) -> None:
        """Records the start of a run on a VM.

        Args:
            task: Name of the task.
            run: Number of the run.
            vm: The VM.
            is_late: Whether the VM delayed the call; time bounds do not apply to delayed calls.
        """
        self.starts += 1
        self.log_run(f"{task}/{run} starts on {vm}{' late' if is_late else ''}")
        job_id, _, step, _ = task.split(".")
        job = self.jobs.get(job_id)
        if job is None:
            self.broken.append(f"UNASKED: {task} of a job that was never submitted")
            return
        others = self.running.setdefault(task, {})
        if others and not job.duplicates:
            self.broken.append(f"TWICE: run {run} of {task} starts on {vm} while {others} are active")
        if run in others or (self._is_repeated(job, task=task, run=run) and not is_late):
            self.broken.append(
                f"TWICE: run {run} of {task} starts again, run {self.highest_run[task]} was seen before"
            )
        failures = self.failures[task] - self.forgotten_failures[task]
        if failures >= self.max_attempts and not job.lasts:
            self.broken.append(f"BUDGET: {task} starts after {failures} failures")
        if self.crashes[task] >= CRASHES and not is_late:
            self.starts_after_crashes[task] += 1
            if self.starts_after_crashes[task] == STARTS_AFTER_CRASHES:
                self.broken.append(f"BUDGET: {task} starts after {self.crashes[task]} VMs crashed under it")
        if int(step) and not self._is_step_done(job_id, step=int(step) - 1):
            self.broken.append(f"ORDER: {task} starts before step {int(step) - 1} is done")
        if not is_late and time.monotonic() - job.cancel_acked_at > self.cancel_s:
            self.broken.append(f"UNASKED: {task} starts long after its cancellation")
        for _, done_run in [key for key in self.starts_after_done if key[0] == task]:
            self.starts_after_done[task, done_run].append(f"run {run} on {vm}")
            self._check_no_start_after_done(task, run=done_run)
        self._check_route(job, task=task, run=run, vm=vm)
        self.highest_run[task] = max(run, self.highest_run.get(task, 0))
        self.seen_runs.add((task, run))
        others[run] = vm

    def record_end(self, *, task: str, run: int, outcome: str) -> None:
        """Records the end of a run."""
        vm = self.running.get(task, {}).pop(run, None)
        self.log_run(f"{task}/{run} ends on {vm}: {outcome}")
        if outcome == "done":
            self.done.add(task)
            self.starts_after_done.setdefault((task, run), [])
        if outcome == "failed":
            self.failures[task] += 1
        if outcome == "crashed":
            self.crashes[task] += 1
            self.forgotten_runs.add((task, run))

    def record_forgotten(self, *, task: str, run: int, outcome: str) -> None:
        """Records that a VM crashed before the end of a run was taken note of; nobody can count it any more."""
        self.forgotten_runs.add((task, run))
        self.forgotten_failures[task] += int(outcome == "failed")
        if (task, run) not in self.noted:
            self.starts_after_done.pop((task, run), None)

    def record_noted(self, *, task: str, run: int, vm: str) -> None:
        """Records that a sender took note that a run ended `done`; no start of its task may follow that end."""
        self.log_run(f"{task}/{run} is noted as done on {vm}")
        self.noted.add((task, run))
        self._check_no_start_after_done(task, run=run)

    def _check_no_start_after_done(self, task: str, *, run: int) -> None:
        starts = self.starts_after_done.get((task, run), [])
        if starts and (task, run) in self.noted and not self.jobs[task.split(".", maxsplit=1)[0]].duplicates:
            self.broken.append(f"TWICE: {task} starts again after run {run} was noted as done: {starts}")
            starts.clear()

    def log_run(self, text: str) -> None:
        """Adds a line with the time of day to the log of runs."""
        self.run_log.append(f"{datetime.now(tz=UTC):%H:%M:%S.%f} {text}")

    def record_overload(self, *, task: str, vm: str, used_millis: int) -> None:
        """Records a start beyond the capacity of a VM that does not reject it."""
        self.broken.append(f"LIMIT: {task} starts on {vm}, whose runs then declare {used_millis} millicores")

    def check_state(self, job_id: str, state: str) -> None:
        """Records and checks a job state that a caller was told."""
        job = self.jobs[job_id]
        job.state = state
        if state == "completed" and not all(
            self._is_step_done(job_id, step=step) for step in range(len(job.steps))
        ):
            self.broken.append(f"LOST: {job_id} is reported as completed, but not all of its tasks completed")
        if state == "cancelled" and not job.cancel_requested:
            self.broken.append(f"LOST: {job_id} is reported as cancelled without a cancellation")
        is_exhausted = any(
            self.failures[task] >= self.max_attempts or self.crashes[task] >= MIN_CRASHES
            for task in {*self.failures, *self.crashes}
            if task.split(".", maxsplit=1)[0] == job_id
        )
        if state == "failed" and not is_exhausted:
            self.broken.append(f"LOST: {job_id} is reported as failed without an exhausted task")

    def check_refused_jobs(self) -> None:
        """Checks that no refused job ran."""
        started = {task.split(".", maxsplit=1)[0] for task in self.highest_run}
        self.broken += [
            f"UNASKED: {job_id} ran although every response refused it"
            for job_id, job in self.jobs.items()
            if job.refused and not job.accepted and job_id in started
        ]

    def _check_route(self, job: Job, *, task: str, run: int, vm: str) -> None:
        """Checks the VM of a start. The rule has no time bound, so it holds for delayed calls, too."""
        step_name, _, index = task.rpartition(".")
        beside = [
            f"{step_name}.{other}/{number}"
            for other in range(job.steps[int(step_name.rpartition(".")[2])])
            for number, other_vm in self.running.get(f"{step_name}.{other}", {}).items()
            if other != int(index) and other_vm == vm
        ]
        tasks = {key.rpartition("/")[0] for key in beside}
        if job.spread_limit and len(tasks) >= job.spread_limit:
            self.broken.append(f"ROUTE: run {run} of {task} starts on {vm} beside {beside}")
        traits = self.vm_traits.get(vm)
        if traits is None:
            return
        if job.label and job.label not in traits.labels:
            self.broken.append(f"ROUTE: run {run} of {task} starts on {vm} without the label {job.label}")
        if job.queue and traits.pool not in self.queue_pools[job.queue]:
            self.broken.append(f"ROUTE: run {run} of {task} of {job.queue} starts on {vm} of {traits.pool}")

    def _is_repeated(self, job: Job, *, task: str, run: int) -> bool:
        """Returns whether a run starts again, or starts after a later one; copies may overtake each other."""
        if (task, run) in self.forgotten_runs:
            return False
        return (task, run) in self.seen_runs if job.duplicates else run <= self.highest_run.get(task, 0)

    def _is_step_done(self, job_id: str, *, step: int) -> bool:
        count = self.jobs[job_id].steps[step]
        return all(f"{job_id}.0.{step}.{index}" in self.done for index in range(count))


__all__ = ["InvariantChecker", "Job", "VmTraits"]

"""Simulation of a fleet in one process, with a stepped clock, for measurements of the job scheduler."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from expression import Error, Ok, Result

from hyssopway.control import Envelope, Outcome, encode_envelope
from hyssopway.control.command import (
    AcceptJob,
    EndRun,
    GrantKey,
    PromoteDocument,
    ReclaimRun,
    RegisterVm,
    StartRun,
    TrialDocument,
)
from hyssopway.control.record import Job, JobSpec, ReclaimAction, RunOutcome
from hyssopway.document import Resources
from hyssopway.job import JobScheduler, UsageReports
from hyssopway.replica import Replica

if TYPE_CHECKING:
    from hyssopway.control.command import Command
    from hyssopway.result import Failure

STEP_S = 0.05
CAPACITY = Resources(cores=64, memory_gb=128)

# The stop order and the report of the end each wait up to 0.5 s for the next sync.
RECLAIM_S = 1.0


@dataclass(slots=True, kw_only=True)
class JobSimulation:
    """Replicated state with simulated workers, which a scheduler under measurement drives.

    Attributes:
        weights: Weight of each team.
        run_s: Returns the actual run time of a job.
        fails: Tells whether runs on a VM fail; a failing run takes 0.1 s.
        replica: Replicated state.
        now: Simulated time in seconds.
        ends: Heap of time, job and epoch of future ends.
        outcomes: VM and outcome of each ended run.
    """

    weights: dict[str, float]
    run_s: Callable[[Job], float]
    fails: Callable[[str], bool] = lambda _: False
    replica: Replica = field(default_factory=Replica)
    now: float = 0.0
    ends: list[tuple[float, str, int]] = field(default_factory=list)
    outcomes: list[tuple[str, RunOutcome]] = field(default_factory=list)

    def prepare(self, *, vms: int) -> None:
        """Activates a document, grants keys and registers VMs in 4 zones with 16 VMs per rack."""
        limit = "{cores: 9000000, memory_gb: 9000000, accelerators: 0}"
        teams = "\n".join(
            f"  - {{name: {team}, share: {weight}, max_running: 1000000, limit: {limit}}}"
            for team, weight in self.weights.items()
        )
        self.activate_document(f"name: measure\nzones: [a, b, c, d]\npools:\n  - name: p\nteams:\n{teams}\n")
        for number in range(vms):
            zone = "abcd"[number % 4]
            command = RegisterVm(
                vm=f"vm{number:05}",
                zone=zone,
                rack=f"{zone}-{number // 64}",
                pool="p",
                capacity=CAPACITY,
                home="h",
                boot_id="b",
            )
            self.apply(command)

    def activate_document(self, text: str) -> None:
        """Runs a document in trial, promotes it and grants a key to each team."""
        tried = self.apply(TrialDocument(text=text, expected_generation=0, request_id="t", operator="o"))
        self.apply(
            PromoteDocument(digest=tried.reference, expected_generation=0, request_id="p", operator="o")
        )
        for team in self.weights:
            key = GrantKey(key_id=team, key_hash="0" * 64, team=team, request_id=f"k-{team}", operator="o")
            self.apply(key)

    def scheduler(self) -> JobScheduler:
        """Returns a new scheduler that acts as the leader."""
        return JobScheduler(
            replica=self.replica,
            submitter=self,  # type: ignore[arg-type]
            leads=lambda: True,
            now_ms=self.now_ms,
            usage_reports=UsageReports(),
            clock=self.clock,
        )

    def clock(self) -> float:
        """Returns the simulated time."""
        return self.now

    def now_ms(self) -> int:
        """Returns the simulated time in milliseconds."""
        return round(self.now * 1000)

    def apply(self, command: Command) -> Outcome:
        """Applies a command as the next log entry."""
        data = encode_envelope(Envelope(at_ms=self.now_ms(), wall_ms=0, command=command))
        return self.replica.apply(index=self.replica.applied_index + 1, data=data)

    async def submit(self, command: Command, *, timeout_s: float = 5.0) -> Result[Outcome, Failure]:
        """Applies a command and schedules the end of the run that it starts or reclaims."""
        outcome = self.apply(command)
        if outcome.failure:
            return Error(outcome.failure)
        match command:
            case StartRun():
                job = self.replica.state.tables.jobs[command.job_id]
                after_s = 0.1 if self.fails(command.vm) else self.run_s(job)
                heapq.heappush(self.ends, (self.now + after_s, command.job_id, command.epoch))
            case ReclaimRun(action=ReclaimAction.CHECKPOINT | ReclaimAction.STOP):
                heapq.heappush(self.ends, (self.now + RECLAIM_S, command.job_id, command.epoch))
        return Ok(outcome)

    def accept(
        self,
        job_id: str,
        *,
        team: str,
        need: Resources,
        task_kind: str = "k",
        pool: str = "p",
        checkpointable: bool = True,
    ) -> None:
        """Accepts a job."""
        spec = JobSpec(task_kind=task_kind, pool=pool, resources=need, checkpointable=checkpointable)
        self.apply(AcceptJob(job_id=job_id, key_id=team, team=team, spec=spec))

    def step(self) -> None:
        """Advances the clock by a step and reports the runs that ended."""
        self.now += STEP_S
        while self.ends and self.ends[0][0] <= self.now:
            _, job_id, epoch = heapq.heappop(self.ends)
            job = self.replica.state.tables.jobs.get(job_id)
            if job is None or job.run is None or job.run.epoch != epoch:
                continue
            vm = job.run.vm
            outcome = RunOutcome.CHECKPOINTED if job.run.reclaim else RunOutcome.DONE
            outcome = RunOutcome.FAILED if self.fails(vm) else outcome
            self.apply(EndRun(job_id=job_id, epoch=epoch, outcome=outcome))
            self.outcomes.append((vm, outcome))


__all__ = ["CAPACITY", "STEP_S", "JobSimulation"]

"""Replicated states, and fakes of the submitter and the clock, for tests of jobs."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from expression import Error, Ok, Result

from hyssopway.control import ControlState, Envelope, Outcome, encode_envelope
from hyssopway.control.command import (
    AcceptJob,
    GrantKey,
    PromoteDocument,
    RegisterVm,
    StartRun,
    TrialDocument,
)
from hyssopway.control.record import JobSpec
from hyssopway.document import Resources
from hyssopway.replica import Freshness, Replica

if TYPE_CHECKING:
    from hyssopway.result import Failure

DOCUMENT = """
name: test
zones: [a, b]
jobs: {cut_off_run_s: 120}
pools:
  - name: p
    budget: {max_down: 2, max_down_per_rack: 2, max_down_per_zone: 2}
  - name: q
    budget: {max_down: 2, max_down_per_rack: 2, max_down_per_zone: 2}
teams:
  - {name: red, share: 1, max_running: 3, limit: {cores: 64, memory_gb: 256, accelerators: 4}}
  - {name: blue, share: 3, max_running: 400, limit: {cores: 6400, memory_gb: 25600, accelerators: 400}}
"""
SMALL = Resources(cores=4, memory_gb=8)
CAPACITY = Resources(cores=16, memory_gb=64)


@dataclass
class LocalSubmitter:
    """Applies commands to a local replica; at once, or only after the timeout while `is_partitioned`."""

    replica: Replica
    at_ms: int = 1_000
    is_partitioned: bool = False
    commands: list[Any] = field(default_factory=list)
    outcomes: list[Any] = field(default_factory=list)

    def now_ms(self) -> int:
        """Returns the cluster time in milliseconds."""
        return self.at_ms

    async def submit(self, command: Any, *, timeout_s: float = 5.0) -> Result[Outcome, Failure]:
        """Applies a command; only after the timeout while partitioned."""
        if self.is_partitioned:
            await asyncio.sleep(timeout_s)
        self.commands.append(command)
        outcome = self.apply(command)
        self.outcomes.append(outcome.failure)
        return Error(outcome.failure) if outcome.failure else Ok(outcome)

    def apply(self, command: Any) -> Outcome:
        """Applies a command as the next log entry."""
        data = encode_envelope(Envelope(at_ms=self.at_ms, wall_ms=self.at_ms, command=command))
        return self.replica.apply(index=self.replica.applied_index + 1, data=data)

    def apply_or_fail(self, command: Any) -> Outcome:
        """Applies a command and fails the test if it is refused."""
        outcome = self.apply(command)
        assert outcome.failure is None, outcome.failure
        return outcome

    @property
    def state(self) -> ControlState:
        """State of the replica."""
        return self.replica.state

    def register(
        self, vm: str, *, zone: str = "a", home: str = "h1", boot_id: str = "b1", **more: Any
    ) -> None:
        """Registers a VM."""
        options = {"rack": f"{zone}-1", "pool": "p", "capacity": CAPACITY} | more
        self.apply_or_fail(RegisterVm(vm=vm, zone=zone, home=home, boot_id=boot_id, **options))

    def accept(self, job_id: str, *, team: str = "red", **spec: Any) -> Outcome:
        """Accepts a job of a team."""
        options = {"task_kind": "k", "pool": "p", "resources": SMALL} | spec
        return self.apply(AcceptJob(job_id=job_id, key_id=f"key-{team}", team=team, spec=JobSpec(**options)))

    def start(self, job_id: str, vm: str, *, epoch: int = 1, vm_epoch: int = 1) -> Outcome:
        """Starts a run."""
        return self.apply(StartRun(job_id=job_id, epoch=epoch, vm=vm, vm_epoch=vm_epoch, reason="test"))


def make_submitter(*, document: str = DOCUMENT) -> LocalSubmitter:
    """Returns a submitter whose state has an active document and a key for each team."""
    submitter = LocalSubmitter(replica=Replica())
    trial = TrialDocument(text=document, expected_generation=0, request_id="t", operator="o")
    digest = submitter.apply_or_fail(trial).reference
    submitter.apply_or_fail(
        PromoteDocument(digest=digest, expected_generation=0, request_id="p", operator="o")
    )
    for team in ("red", "blue"):
        grant = GrantKey(
            key_id=f"key-{team}", key_hash="0" * 64, team=team, request_id=f"k-{team}", operator="o"
        )
        submitter.apply_or_fail(grant)
    return submitter


@dataclass
class ManualClock:
    """A clock that tests advance."""

    now: float = 100.0

    def __call__(self) -> float:
        """Returns the time in seconds."""
        return self.now


def make_freshness(clock: ManualClock) -> Freshness:
    """Returns a freshness that is confirmed now and covers all log entries."""
    freshness = Freshness(clock=clock)
    freshness.confirm(at=clock.now)
    freshness.cover(index=1_000_000)
    return freshness

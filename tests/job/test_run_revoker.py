"""Tests of revoking runs from homes that are out of contact."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import pytest
from expression import Error, Ok

from hyssopway.control import wrap_command
from hyssopway.control.record import JobStatus
from hyssopway.job import HomeMonitor, RunRevoker
from hyssopway.job.home_monitor import SILENT_AFTER_S
from hyssopway.result import Failure, ResultCode
from states import LocalSubmitter, ManualClock, make_submitter

if TYPE_CHECKING:
    from typing import Any


@dataclass
class FakeMember:
    """Control member that is the leader."""

    is_leader: bool = True
    term: int = 1
    term_start_index: int = 0


@dataclass
class FakeProposer:
    """Applies proposals immediately, or leaves their outcome unknown."""

    submitter: LocalSubmitter
    unknown: bool = False

    async def propose(self, *, command: bytes, timeout_s: float) -> Any:
        if self.unknown:
            return Error(Failure(code=ResultCode.OUTCOME_UNKNOWN, message="no quorum"))
        replica = self.submitter.replica
        data = wrap_command(command, at_ms=self.submitter.at_ms, wall_ms=self.submitter.at_ms)
        return Ok(replica.apply(index=replica.applied_index + 1, data=data))


@dataclass
class RevokerHarness:
    """Leader with one run on a worker of home `h2`, which was never in contact."""

    submitter: LocalSubmitter = field(default_factory=make_submitter)
    clock: ManualClock = field(default_factory=ManualClock)
    member: FakeMember = field(default_factory=FakeMember)

    def __post_init__(self) -> None:
        """Places the run and builds the home monitor and the revoker."""
        self.submitter.register("vm", home="h2")
        self.submitter.accept("job")
        self.submitter.start("job", "vm")
        self.proposer = FakeProposer(self.submitter)
        self.homes = HomeMonitor(
            own_name="h1",
            replica=self.submitter.replica,
            submitter=self.submitter,  # type: ignore[arg-type]
            contacts={},
            leads=lambda: self.member.is_leader,
            clock=self.clock,
        )
        self.runs = RunRevoker(
            replica=self.submitter.replica,
            member=self.member,  # type: ignore[arg-type]
            proposer=self.proposer,  # type: ignore[arg-type]
            home_monitor=self.homes,
            confirmed_homes={"h2"},
            confirmed_indexes={},
            undecided_ends={},
        )

    @property
    def status(self) -> JobStatus:
        return self.submitter.state.tables.jobs["job"].status

    async def check(self, *, after_s: float = 0.0) -> None:
        self.clock.now += after_s
        await self.homes.check()
        await self.runs.check()


@pytest.mark.parametrize(
    ("case", "taken_back"),
    [
        ("never confirmed", True),
        ("confirmed before the start", True),
        ("confirmed with the start", False),
        ("started in a former term", False),
        ("worker moved to another home", False),
        ("home without a log", False),
        ("home in contact", False),
        ("another daemon leads", False),
    ],
)
async def test_run_is_revoked_only_when_its_home_cannot_have_started_it(case, taken_back):
    """Guards against starting a second run while the first, started by a cut-off home, still runs."""
    harness = RevokerHarness()
    started = harness.submitter.state.tables.jobs["job"].run.started_index
    await harness.check()
    match case:
        case "confirmed before the start":
            harness.runs.confirmed_indexes["h2"] = started - 1
        case "confirmed with the start":
            harness.runs.confirmed_indexes["h2"] = started
        case "started in a former term":
            harness.member.term_start_index = started + 1
        case "worker moved to another home":
            harness.submitter.register("vm", home="h3")
            harness.submitter.register("vm", home="h2")
        case "home without a log":
            harness.runs.confirmed_homes = set()
        case "home in contact":
            harness.homes.contacts["h2"] = harness.clock.now + SILENT_AFTER_S
        case "another daemon leads":
            harness.member.is_leader = False
    await harness.check(after_s=SILENT_AFTER_S + 0.1)
    assert (harness.status is JobStatus.PENDING) is taken_back
    assert harness.runs.undecided_ends == {}


async def test_end_stays_undecided_until_its_outcome_is_known():
    """Guards against a home that gets a run confirmed and starts it while the end of the run is proposed."""
    harness = RevokerHarness()
    harness.proposer.unknown = True
    await harness.check()
    await harness.check(after_s=SILENT_AFTER_S + 0.1)
    assert [end.job_id for end in harness.runs.undecided_ends["h2"]] == ["job"]
    harness.homes.contacts["h2"] = harness.clock.now
    harness.proposer.unknown = False
    await harness.check()
    assert harness.status is JobStatus.PENDING
    assert harness.runs.undecided_ends == {}


async def test_undecided_ends_of_a_former_term_are_dropped():
    """Guards against ending a run that another leader confirmed to the home in the meantime."""
    harness = RevokerHarness()
    harness.proposer.unknown = True
    await harness.check()
    await harness.check(after_s=SILENT_AFTER_S + 0.1)
    harness.proposer.unknown = False
    harness.member.term, harness.member.term_start_index = 3, 1_000
    await harness.check()
    assert harness.status is JobStatus.RUNNING
    assert harness.runs.undecided_ends == {}

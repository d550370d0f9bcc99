"""Revokes runs whose start order a home out of contact cannot have sent."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from expression import Result

from hyssopway.control import encode_command
from hyssopway.control.command import EndRun
from hyssopway.control.record import RunOutcome
from hyssopway.event import Event, log_event

if TYPE_CHECKING:
    from collections.abc import Set as AbstractSet

    from hyssopway.agreement import Member
    from hyssopway.control.record import Run
    from hyssopway.replica import Proposer, Replica

    from .home_monitor import HomeMonitor

CHECK_INTERVAL_S = 0.25
PROPOSE_TIMEOUT_S = 2.0


class RunRevoker:
    """Ends runs that were placed on workers of a home after the home's last confirmation.

    A home with a log sends the start order of a run only after a leader confirmed the run's index to it. While
    this leader proposes the end of such a run, it gives the home no confirmation. Another leader confirms
    nothing before it has applied all entries of earlier terms, so a revoked run is never started.

    Attributes:
        replica: Replicated state.
        member: Control member of this daemon.
        proposer: Appends to this daemon's own log; an end must not go through another leader.
        home_monitor: Determines which homes are out of contact.
        confirmed_homes: Homes that request confirmations from the leader directly.
        confirmed_indexes: Largest index that this daemon, as leader, confirmed to each home.
        undecided_ends: Proposed ends whose outcome is not known yet, by home.
        term: Term in which the ends were found.
    """

    __slots__ = (
        "confirmed_homes",
        "confirmed_indexes",
        "home_monitor",
        "member",
        "proposer",
        "replica",
        "term",
        "undecided_ends",
    )

    def __init__(
        self,
        *,
        replica: Replica,
        member: Member,
        proposer: Proposer,
        home_monitor: HomeMonitor,
        confirmed_homes: AbstractSet[str],
        confirmed_indexes: dict[str, int],
        undecided_ends: dict[str, list[EndRun]],
    ) -> None:
        self.replica = replica
        self.member = member
        self.proposer = proposer
        self.home_monitor = home_monitor
        self.confirmed_homes = confirmed_homes
        self.confirmed_indexes = confirmed_indexes
        self.undecided_ends = undecided_ends
        self.term = 0

    async def run(self) -> None:
        """Checks periodically for as long as the daemon runs."""
        while True:
            await self.check()
            await asyncio.sleep(CHECK_INTERVAL_S)

    async def check(self) -> None:
        """Ends the runs that homes out of contact cannot have started."""
        term = self.member.term
        if not self.member.is_leader or term != self.term:
            # Another leader may have confirmed these runs to their home in between.
            self.undecided_ends.clear()
            self.term = term
        if not self.member.is_leader:
            return
        for home in self.home_monitor.find_silent_homes() & self.confirmed_homes:
            if home not in self.undecided_ends and (ends := self._find_revocable_ends(home)):
                self.undecided_ends[home] = ends
        await asyncio.gather(*(self._propose_ends(home, term=term) for home in list(self.undecided_ends)))

    async def _propose_ends(self, home: str, *, term: int) -> None:
        """Proposes ends and keeps those of unknown outcome, which may still take effect."""
        ends = [end for end in self.undecided_ends[home] if self._is_current(end)]
        settled = await asyncio.gather(*(self._propose(end, term=term) for end in ends))
        left = [end for end, done in zip(ends, settled, strict=True) if not done]
        if left:
            self.undecided_ends[home] = left
        else:
            self.undecided_ends.pop(home, None)

    async def _propose(self, end: EndRun, *, term: int) -> bool:
        if self.member.term != term:
            return False
        command = encode_command(end)
        match await self.proposer.propose(command=command, timeout_s=PROPOSE_TIMEOUT_S):
            case Result(tag="ok", ok=outcome):
                if outcome.failure is None:
                    log_event(Event.JOB_ENDED, job=end.job_id, outcome=end.outcome)
                return True
        return False

    def _find_revocable_ends(self, home: str) -> list[EndRun]:
        silent_s = self.home_monitor.silent_s(home)
        confirmed = max(self.confirmed_indexes.get(home, 0), self.member.term_start_index)
        state = self.replica.state
        return [
            EndRun(
                job_id=job_id,
                epoch=run.epoch,
                outcome=RunOutcome.STOPPED,
                detail=f"home {home} has been silent for {silent_s:.1f} s and did not send the start order",
                vm=vm.name,
                home_epoch=vm.home_epoch,
            )
            for vm in state.tables.vms.values()
            if vm.home == home
            for job_id in sorted(state.indexes.running.get(vm.name, ()))
            if (run := state.tables.jobs[job_id].run) is not None
            and run.started_index > confirmed
            and run.home_epoch == vm.home_epoch
        ]

    def _is_current(self, end: EndRun) -> bool:
        job = self.replica.state.tables.jobs.get(end.job_id)
        run: Run | None = job.run if job is not None else None
        return run is not None and run.epoch == end.epoch


__all__ = ["RunRevoker"]

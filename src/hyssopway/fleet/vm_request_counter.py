"""Counts the requests in progress on the endpoints of a VM."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from expression import Result
from pydantic_core import from_json, to_json

from hyssopway.control.record import VmState
from hyssopway.document import parse_document
from hyssopway.endpoint import ENDPOINT_LEASE_S
from hyssopway.peer import PeerUnreachableError
from hyssopway.routing import CLOCK_DRIFT_MARGIN_S, CREDIT_LEASE_S, SUMMARY_VALID_S

if TYPE_CHECKING:
    from hyssopway.peer import PeerDirectory
    from hyssopway.replica import Replica
    from hyssopway.routing import CreditLedger, Router

VM_REQUESTS_TOPIC = "vm_requests"
ENTRY_STOPPED_TOPIC = "entry_stopped"
CALL_TIMEOUT_S = 1.0
STOP_TIMEOUT_S = 0.5
# After its last contact an entry may still renew credits until others miss its summaries, and then use them
# until their lease ends.
LAST_START_S = SUMMARY_VALID_S + CREDIT_LEASE_S + CLOCK_DRIFT_MARGIN_S
# Oldest count of a VM that a sync brings: a worker gives a sync up after 2.5 s.
REPORT_AGE_S = 3.0
# An endpoint that left gets its last request when its lease at a home that it could not tell and the credits
# of that home have ended; the count must be younger.
LEFT_S = ENDPOINT_LEASE_S + CREDIT_LEASE_S + CLOCK_DRIFT_MARGIN_S + REPORT_AGE_S


class VmRequestCounter:
    """Asks all entries, because any of them may send to an endpoint of the VM.

    Attributes:
        ledger: Credits of endpoints whose home is this daemon.
        router: Requests in progress from this daemon.
        peers: Clients of the other daemons.
        replica: Agreed state, for the deadlines of services.
        heard_at: Local time of the last contact with each other entry, by this or another daemon. An entry
            that was never heard counts from the start of this process, which may have known it before.
        stopped_at: Local time at which an entry said that it had finished all requests and would stop.
        limits: Longest deadline in each document, by digest.
        left_at: Epoch of a VM and the local time at which it first said that its endpoints had left.
    """

    __slots__ = ("heard_at", "ledger", "left_at", "limits", "peers", "replica", "router", "stopped_at")

    def __init__(
        self, *, ledger: CreditLedger, router: Router, peers: PeerDirectory, replica: Replica
    ) -> None:
        self.ledger = ledger
        self.router = router
        self.peers = peers
        self.replica = replica
        self.heard_at: dict[str, float] = dict.fromkeys(router.homes.others, ledger.clock())
        self.stopped_at: dict[str, float] = {}
        self.limits: dict[str, float] = {}
        self.left_at: dict[str, tuple[int, float]] = {}

    async def count(self, vm: str, reported: int | None = None) -> int | None:
        """Returns the number of requests in progress; None while an entry may have some and does not say.

        A silent entry cannot renew its credits. What it sent is over once the VM counts no request after its
        endpoints left, and otherwise after the longest deadline that a document allows; without this bound
        one dead entry would block all drains.

        Args:
            vm: The VM.
            reported: Requests that the VM counts on its endpoints since these left; None before.
        """
        counted = self._take_report(vm, reported=reported)
        asked_at = self.ledger.clock()
        names = list(self.heard_at)
        answers = await asyncio.gather(*(self._ask(name, vm=vm) for name in names))
        known: list[dict[str, Any]] = [self.build_report(vm)]
        for name, answer in zip(names, answers, strict=True):
            if answer is not None:
                self.heard_at[name] = asked_at
                known.append(answer)
        for answer in known:
            for name, age_s in answer["heard"].items():
                if name in self.heard_at and age_s is not None:
                    self.heard_at[name] = max(self.heard_at[name], asked_at - age_s)
        # An entry whose replica is behind still hands out credits for the VM.
        if not all(answer["stopping"] for answer in known):
            return None
        if counted is not None:
            return counted
        silent = [name for name, answer in zip(names, answers, strict=True) if answer is None]
        wait_s = self.longest_deadline_s() + LAST_START_S
        if any(self._may_have_requests(name, wait_s=wait_s) for name in silent):
            return None
        return sum(int(answer["held"]) + int(answer["granted"]) for answer in known)

    def build_report(self, vm: str) -> dict[str, Any]:
        """Returns what this daemon knows of the VM's endpoints and of the other entries."""
        now = self.ledger.clock()
        known = self.replica.state.tables.vms.get(vm)
        return {
            "stopping": known is not None and known.state is not VmState.READY,
            "granted": sum(
                grant.vm == vm and grant.expires_at > now for grant in self.ledger.grants.values()
            ),
            "held": self.router.count_credits_on(vm),
            "heard": {name: now - home.heard_at for name, home in self.router.homes.others.items()},
        }

    def longest_deadline_s(self) -> float:
        """Returns the longest deadline that a request in progress may have.

        Earlier documents count as well: an entry may have taken the request under one of them.
        """
        tables = self.replica.state.tables
        documents = {stored.digest: stored.text for stored in (*tables.documents.values(), *tables.history)}
        self.limits = {
            digest: self.limits[digest] if digest in self.limits else _longest_deadline_s(text)
            for digest, text in documents.items()
        }
        return max(self.limits.values(), default=0.0)

    async def announce_stop(self, own_name: str) -> None:
        """Tells the other entries that this one has finished, so that no drain waits for it."""
        data = to_json(own_name)
        calls = (
            self.peers.client(name).exchange(topic=ENTRY_STOPPED_TOPIC, data=data, timeout_s=STOP_TIMEOUT_S)
            for name in self.heard_at
        )
        await asyncio.gather(*calls, return_exceptions=True)

    def record_stop(self, name: str) -> bool:
        """Takes what `announce_stop` sent."""
        self.stopped_at[name] = self.ledger.clock()
        return True

    def _take_report(self, vm: str, *, reported: int | None) -> int | None:
        """Returns the requests that a VM counts; None while its endpoints may still get new ones."""
        record = self.replica.state.tables.vms.get(vm)
        if reported is None or record is None:
            self.left_at.pop(vm, None)
            return None
        now = self.ledger.clock()
        epoch, left_at = self.left_at.get(vm, (0, now))
        if epoch != record.epoch:  # it may have worked in between
            left_at = now
        self.left_at[vm] = (record.epoch, left_at)
        return reported if now - left_at > LEFT_S else None

    def _may_have_requests(self, name: str, *, wait_s: float) -> bool:
        heard_at = self.heard_at[name]
        if heard_at <= self.stopped_at.get(name, float("-inf")):
            return False  # it has not been started again
        return self.ledger.clock() - heard_at < wait_s

    async def _ask(self, name: str, *, vm: str) -> dict[str, Any] | None:
        try:
            data = await self.peers.client(name).exchange(
                topic=VM_REQUESTS_TOPIC, data=to_json(vm), timeout_s=CALL_TIMEOUT_S
            )
        except PeerUnreachableError:
            return None
        answer: dict[str, Any] = from_json(data)
        return answer


def _longest_deadline_s(text: str) -> float:
    match parse_document(text=text, file="history"):
        case Result(tag="ok", ok=document):
            return max((service.deadline_limit_s for service in document.services), default=0.0)
        case _:
            return 0.0  # no daemon can have it in force


__all__ = ["ENTRY_STOPPED_TOPIC", "LAST_START_S", "VM_REQUESTS_TOPIC", "VmRequestCounter"]

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
from hyssopway.routing import CREDIT_LEASE_S, HOME_MARGIN_S, SUMMARY_VALID_S

if TYPE_CHECKING:
    from hyssopway.peer import PeerDirectory
    from hyssopway.replica import Replica
    from hyssopway.routing import CreditLedger, Router

VM_REQUESTS_TOPIC = "vm_requests"
ENTRY_STOPPED_TOPIC = "entry_stopped"
CALL_TIMEOUT_S = 1.0
STOP_TIMEOUT_S = 0.5
# Longest time after its last contact in which an entry may still send requests: it may renew credits until
# others miss its summaries, and then use them until their lease expires.
MAX_SEND_AFTER_CONTACT_S = SUMMARY_VALID_S + CREDIT_LEASE_S + HOME_MARGIN_S
# Largest age of the request count in a sync: a worker abandons a sync after 2.5 s.
MAX_REPORT_AGE_S = 3.0
# An endpoint that left may receive requests until its lease at a home that it could not notify, and the
# credits granted by that home, have expired. A count is final only if it is taken after that.
REPORT_TRUSTED_AFTER_S = ENDPOINT_LEASE_S + CREDIT_LEASE_S + HOME_MARGIN_S + MAX_REPORT_AGE_S


class VmRequestCounter:
    """Counts requests over all entries, because any of them may send to an endpoint of the VM.

    Attributes:
        ledger: Credits of endpoints whose home is this daemon.
        router: Requests in progress from this daemon.
        peers: Clients of the other daemons.
        replica: Replicated state, for the deadlines of services.
        heard_at: Local time of the last contact with each other entry, by this or another daemon. For an entry
            without contact so far it is the start of this process, since an earlier process may have had one.
        stopped_at: Local time at which an entry announced that it had finished all requests and would stop.
        longest_deadlines: Longest deadline in seconds that each document allows, by digest.
        left_at: Epoch of a VM and the local time at which it first reported that its endpoints had left.
    """

    __slots__ = (
        "heard_at",
        "ledger",
        "left_at",
        "longest_deadlines",
        "peers",
        "replica",
        "router",
        "stopped_at",
    )

    def __init__(
        self, *, ledger: CreditLedger, router: Router, peers: PeerDirectory, replica: Replica
    ) -> None:
        self.ledger = ledger
        self.router = router
        self.peers = peers
        self.replica = replica
        self.heard_at: dict[str, float] = dict.fromkeys(router.homes.others, ledger.clock())
        self.stopped_at: dict[str, float] = {}
        self.longest_deadlines: dict[str, float] = {}
        self.left_at: dict[str, tuple[int, float]] = {}

    async def count(self, vm: str, reported: int | None = None) -> int | None:
        """Returns the number of requests in progress on a VM; None while it is not known.

        It is not known while an entry that does not answer may have requests in progress. Such an entry cannot
        renew its credits. Its requests have ended once the VM itself counts none after its endpoints left,
        and otherwise after the longest deadline that any document allows. Without this bound one dead entry
        would block all drains.

        Args:
            vm: Name of the VM.
            reported: Requests that the VM counts on its endpoints after these left; None before they left.
        """
        counted = self._accept_report(vm, reported=reported)
        asked_at = self.ledger.clock()
        names = list(self.heard_at)
        answers = await asyncio.gather(*(self._query(name, vm=vm) for name in names))
        reports: list[dict[str, Any]] = [self.build_report(vm)]
        for name, answer in zip(names, answers, strict=True):
            if answer is not None:
                self.heard_at[name] = asked_at
                reports.append(answer)
        for answer in reports:
            for name, age_s in answer["heard"].items():
                if name in self.heard_at and age_s is not None:
                    self.heard_at[name] = max(self.heard_at[name], asked_at - age_s)
        # An entry whose replica lags behind may still grant credits for the VM.
        if not all(answer["stopping"] for answer in reports):
            return None
        if counted is not None:
            return counted
        silent = [name for name, answer in zip(names, answers, strict=True) if answer is None]
        wait_s = self.longest_deadline_s() + MAX_SEND_AFTER_CONTACT_S
        if any(self._may_have_requests(name, wait_s=wait_s) for name in silent):
            return None
        return sum(int(answer["held"]) + int(answer["granted"]) for answer in reports)

    def build_report(self, vm: str) -> dict[str, Any]:
        """Returns this daemon's report on requests to the VM and on its contacts with other entries."""
        now = self.ledger.clock()
        record = self.replica.state.tables.vms.get(vm)
        return {
            "stopping": record is not None and record.state is not VmState.READY,
            "granted": sum(
                grant.vm == vm and grant.expires_at > now for grant in self.ledger.grants.values()
            ),
            "held": self.router.held_on(vm),
            "heard": {name: now - home.heard_at for name, home in self.router.homes.others.items()},
        }

    def longest_deadline_s(self) -> float:
        """Returns the longest deadline, in seconds, that a request in progress may have.

        Earlier documents are included because an entry may have accepted the request under one of them.
        """
        tables = self.replica.state.tables
        documents = {stored.digest: stored.text for stored in (*tables.documents.values(), *tables.history)}
        self.longest_deadlines = {
            digest: self.longest_deadlines[digest]
            if digest in self.longest_deadlines
            else _longest_deadline_s(text)
            for digest, text in documents.items()
        }
        return max(self.longest_deadlines.values(), default=0.0)

    async def announce_stop(self, own_name: str) -> None:
        """Announces to the other entries that this one has finished all requests, so that no drain waits for it."""
        data = to_json(own_name)
        calls = (
            self.peers.client(name).exchange(topic=ENTRY_STOPPED_TOPIC, data=data, timeout_s=STOP_TIMEOUT_S)
            for name in self.heard_at
        )
        await asyncio.gather(*calls, return_exceptions=True)

    def record_stop(self, name: str) -> bool:
        """Handles the message that `announce_stop` sends."""
        self.stopped_at[name] = self.ledger.clock()
        return True

    def _accept_report(self, vm: str, *, reported: int | None) -> int | None:
        """Returns the requests that a VM counts; None while its endpoints may still receive new ones."""
        record = self.replica.state.tables.vms.get(vm)
        if reported is None or record is None:
            self.left_at.pop(vm, None)
            return None
        now = self.ledger.clock()
        epoch, left_at = self.left_at.get(vm, (0, now))
        if epoch != record.epoch:  # the VM may have been in service in between
            left_at = now
        self.left_at[vm] = (record.epoch, left_at)
        return reported if now - left_at > REPORT_TRUSTED_AFTER_S else None

    def _may_have_requests(self, name: str, *, wait_s: float) -> bool:
        heard_at = self.heard_at[name]
        if heard_at <= self.stopped_at.get(name, float("-inf")):
            return False  # no contact since, so it has not been restarted
        return self.ledger.clock() - heard_at < wait_s

    async def _query(self, name: str, *, vm: str) -> dict[str, Any] | None:
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
            return 0.0  # no daemon can have activated it


__all__ = ["ENTRY_STOPPED_TOPIC", "MAX_SEND_AFTER_CONTACT_S", "VM_REQUESTS_TOPIC", "VmRequestCounter"]

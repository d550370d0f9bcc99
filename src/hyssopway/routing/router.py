"""Finds a slot on an endpoint for a request."""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from expression import Error, Ok, Result

from hyssopway.peer import Credit, CreditRequest, PeerUnreachableError
from hyssopway.result import Failure, ResultCode

if TYPE_CHECKING:
    from hyssopway.clock import Clock
    from hyssopway.peer import PeerDirectory

    from .ledger import CreditLedger

CALL_TIMEOUT_S = 0.5
POLL_S = 0.02


@dataclass(frozen=True, slots=True, kw_only=True)
class HeldCredit:
    """A credit and the daemon that handed it out.

    Attributes:
        home: Daemon that handed it out.
        credit: The credit.
    """

    home: str
    credit: Credit


class Router:
    """Obtains and returns slot credits.

    Attributes:
        own_name: Name of this daemon.
        ledger: Credits of endpoints whose home is this daemon.
        peers: Clients of the other daemons.
        homes: Other daemons, those of the own zone first.
        in_use: Credits in use by endpoint.
    """

    __slots__ = ("clock", "homes", "in_use", "ledger", "own_name", "peers", "tasks")

    def __init__(
        self, *, own_name: str, ledger: CreditLedger, peers: PeerDirectory, homes: list[str], clock: Clock
    ) -> None:
        self.own_name = own_name
        self.ledger = ledger
        self.peers = peers
        self.homes = homes
        self.clock = clock
        self.in_use: Counter[str] = Counter()
        self.tasks: set[asyncio.Task[None]] = set()

    async def acquire(
        self, *, environment: str, service: str, deadline: float
    ) -> Result[HeldCredit, Failure]:
        """Waits for a slot until a local time."""
        request = CreditRequest(daemon=self.own_name, environment=environment, service=service, wanted=1)
        while True:
            held = await self._ask_homes(request)
            if held is not None:
                self.in_use[held.credit.endpoint] += 1
                return Ok(held)
            if self.clock() + POLL_S >= deadline:
                message = f"no endpoint of {service} has a free slot in time"
                return Error(Failure(code=ResultCode.NO_ENDPOINT, message=message, retry_after_s=1.0))
            await asyncio.sleep(POLL_S)

    def release(self, held: HeldCredit) -> None:
        """Gives a credit back to its home."""
        self.in_use[held.credit.endpoint] -= 1
        self.in_use += Counter()  # drops endpoints without credits in use
        request = CreditRequest(
            daemon=self.own_name,
            environment=held.credit.environment,
            service=held.credit.service,
            returned=(held.credit.credit_id,),
        )
        if held.home == self.own_name:
            self.ledger.answer(request)
            return
        task = asyncio.create_task(self._return_to(home=held.home, request=request))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _ask_homes(self, request: CreditRequest) -> HeldCredit | None:
        for credit in self.ledger.answer(request).credits:
            return HeldCredit(home=self.own_name, credit=credit)
        for home in self.homes:
            try:
                reply = await self.peers.client(home).credits(request=request, timeout_s=CALL_TIMEOUT_S)
            except PeerUnreachableError:
                continue
            for credit in reply.credits:
                return HeldCredit(home=home, credit=credit)
        return None

    async def _return_to(self, *, home: str, request: CreditRequest) -> None:
        try:
            await self.peers.client(home).credits(request=request, timeout_s=CALL_TIMEOUT_S)
        except PeerUnreachableError:
            return  # the lease ends by itself


__all__ = ["HeldCredit", "Router"]

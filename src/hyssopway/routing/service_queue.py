"""Credits and waiting requests of one service at one entry daemon."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING, Any

from expression import Error, Ok, Result

from hyssopway.peer import CreditReply, CreditRequest, PeerUnreachableError
from hyssopway.result import Failure, ResultCode

from .drain import Drain
from .held_credit import HeldCredit
from .waiter import Waiter

if TYPE_CHECKING:
    from hyssopway.clock import Clock
    from hyssopway.endpoint import EndpointHealth

    from .home_directory import HomeDirectory

# Pause of the one refill task while all homes are short. Credits in use come back without it.
REFILL_PAUSE_S = 0.02
# A new endpoint is known at all entries after one exchange of summaries, which takes 0.5 s.
NO_ENDPOINT_S = 1.0
RENEW_S = 0.5
# A retry waits this long for another endpoint before it takes one that failed it.
AVOID_S = 0.1
# Without a margin 1% of the refusals in a burst came only after 0.9 s of waiting: credits are recalled
# for other entries and answer times vary. A shorter queue keeps the slots as busy.
WAIT_MARGIN = 1.5
# Credits that no request needed for this time are given back.
IDLE_WINDOW_S = 0.3
RETRY_JITTER = 0.5
MAX_RETRY_AFTER_S = 30.0


class ServiceQueue:
    """Gives credits to requests in order of arrival.

    A credit that comes back goes to the next request without a call. One refill task fetches credits in
    batches while requests wait.

    Attributes:
        service: Environment and name.
        homes: Homes of endpoints.
        health: Outcomes of requests sent from here.
        idle: Credits that no request uses.
        in_use: Credits that a request uses.
        waiting: Requests in order of arrival.
        drain: How fast requests end.
        wanted: Set while requests wait.
        returning: Credits to give back, by home.
        least_idle: Fewest idle credits since the window began.
        short: Whether the homes had too few credits for the requests that wait.
    """

    __slots__ = (
        "clock",
        "drain",
        "flushing",
        "health",
        "homes",
        "idle",
        "in_use",
        "least_idle",
        "outstanding",
        "refilling",
        "returning",
        "rng",
        "service",
        "short",
        "waiting",
        "wanted",
        "window_at",
    )

    def __init__(
        self,
        *,
        service: tuple[str, str],
        homes: HomeDirectory,
        health: EndpointHealth,
        clock: Clock,
        rng: random.Random | None = None,
    ) -> None:
        self.service = service
        self.homes = homes
        self.health = health
        self.clock = clock
        self.rng = rng or random.Random()
        self.idle: list[HeldCredit] = []
        self.in_use: set[HeldCredit] = set()
        self.outstanding: dict[str, int] = {}
        self.waiting: dict[Waiter, None] = {}
        self.drain = Drain(clock=clock)
        self.wanted = asyncio.Event()
        self.returning: dict[str, list[int]] = {}
        self.least_idle = 0
        self.short = False
        self.window_at = clock()
        self.refilling: asyncio.Task[None] | None = None
        self.flushing: asyncio.Task[None] | None = None

    async def acquire(
        self, *, deadline: float, queue_limit: int, avoided: frozenset[str] = frozenset()
    ) -> Result[HeldCredit, Failure]:
        """Waits for a slot; refuses at once when none will be free in time."""
        if not self.waiting:
            held = self._take_idle(avoided=avoided)
            if held is not None:
                return Ok(held)
        failure = self._check_bound(deadline=deadline, queue_limit=queue_limit)
        if failure is not None:
            return Error(failure)
        waiter = Waiter(
            future=asyncio.get_running_loop().create_future(),
            give_up_at=deadline - min(self.drain.service_s, (deadline - self.clock()) / 2),
            avoided=avoided,
        )
        self.waiting[waiter] = None
        self._start_refill()
        try:
            return await self._wait(waiter)
        finally:
            self.waiting.pop(waiter, None)

    def release(self, held: HeldCredit) -> None:
        """Takes a credit back from its request and passes it on."""
        self.in_use.discard(held)
        left = self.outstanding.pop(held.credit.endpoint, 1) - 1
        if left:
            self.outstanding[held.credit.endpoint] = left
        self.drain.ended(seconds=self.clock() - held.taken_at)
        self._offer(held)

    def reassign_home(self, *, endpoint: str, home: str) -> list[HeldCredit]:
        """Notes the new home of an endpoint and returns the credits held for it."""
        now = self.clock()
        self.idle = [held for held in self.idle if held.expires_at > now]
        found = [held for held in (*self.idle, *self.in_use) if held.credit.endpoint == endpoint]
        for held in found:
            held.home = home
        return found

    def dump(self) -> dict[str, Any]:
        """Returns what decides about the next requests."""
        return {
            "waiting": len(self.waiting),
            "idle": len(self.idle),
            "in_use": len(self.in_use),
            "outstanding": dict(self.outstanding),
            "short": self.short,
            "service_s": self.drain.service_s,
            "ended_per_s": self.drain.rate,
            "ejected": list(self.health.ejected(self.service)),
        }

    async def maintain(self) -> None:
        """Renews leases and gives back what nobody needs."""
        self._trim()
        held_by_home: dict[str, list[HeldCredit]] = {}
        for held in (*self.idle, *self.in_use):
            held_by_home.setdefault(held.home, []).append(held)
        names = held_by_home.keys() | self.returning.keys()
        await asyncio.gather(*(self._renew(home, held_by_home.get(home, [])) for home in names))

    def retry_after_s(self) -> float:
        """Returns when the queue will have drained, with jitter so that callers do not return at once."""
        rate = self.drain.rate or 1.0
        return min(MAX_RETRY_AFTER_S, len(self.waiting) / rate) + self.rng.uniform(0, RETRY_JITTER)

    def _check_bound(self, *, deadline: float, queue_limit: int) -> Failure | None:
        if len(self.waiting) >= queue_limit:
            message = f"{self.service[1]} has {len(self.waiting)} requests waiting here, its limit"
            return self._refusal(message)
        wait_s = self._expected_wait_s(len(self.waiting) + 1)
        left_s = deadline - self.clock()
        if left_s <= 0 or wait_s + self.drain.service_s > left_s:
            message = f"{self.service[1]} needs about {wait_s:.2f} s, which is longer than the request has"
            return self._refusal(message)
        return None

    def _refusal(self, message: str) -> Failure:
        return Failure(code=ResultCode.QUEUE_FULL, message=message, retry_after_s=self.retry_after_s())

    def _expected_wait_s(self, position: int) -> float:
        held = len(self.in_use) + len(self.idle)
        if not held or not self.short:
            # Until the homes are short, an entry gets at least its share of all slots from them.
            held = max(1, held, self.homes.slots(self.service) // (len(self.homes.others) + 1))
        return position * self.drain.service_s / held * WAIT_MARGIN

    async def _wait(self, waiter: Waiter) -> Result[HeldCredit, Failure]:
        started = self.clock()
        limit = min(waiter.give_up_at, started + (AVOID_S if waiter.avoided else NO_ENDPOINT_S))
        while True:
            try:
                async with asyncio.timeout(max(0.0, limit - self.clock())):
                    return Ok(await asyncio.shield(waiter.future))
            except TimeoutError:
                if waiter.future.done():
                    return Ok(waiter.future.result())
                if limit >= waiter.give_up_at:
                    return Error(self._refusal(f"{self.service[1]} has no free slot in time"))
                if not self.in_use and not self.idle and not self.homes.slots(self.service):
                    return Error(self._no_endpoint())
                if waiter.avoided and (held := self._stop_avoiding(waiter)) is not None:
                    return Ok(held)
                limit = min(waiter.give_up_at, max(limit, started + NO_ENDPOINT_S))
                limit = limit if limit > self.clock() else waiter.give_up_at
            except asyncio.CancelledError:
                if waiter.future.done():
                    self.release(waiter.future.result())
                raise

    def _no_endpoint(self) -> Failure:
        message = f"no endpoint of {self.service[1]} is known here"
        return Failure(
            code=ResultCode.NO_ENDPOINT,
            message=message,
            retry_after_s=1.0 + self.rng.uniform(0, RETRY_JITTER),
        )

    def _stop_avoiding(self, waiter: Waiter) -> HeldCredit | None:
        waiter.avoided = frozenset()
        return self._take_idle()

    def _take_idle(self, *, avoided: frozenset[str] = frozenset()) -> HeldCredit | None:
        now = self.clock()
        while self.idle:
            usable = [held for held in self.idle if self._usable(held, now=now)]
            if not usable:
                for held in [held for held in self.idle if held.expires_at <= now or held.recalled]:
                    self.idle.remove(held)
                return None
            usable = [held for held in usable if held.credit.endpoint not in avoided]
            if not usable:
                return None
            pair = self.rng.sample(usable, k=min(2, len(usable)))
            held = min(pair, key=lambda item: self.outstanding.get(item.credit.endpoint, 0))
            self.idle.remove(held)
            self.least_idle = min(self.least_idle, len(self.idle))
            return self._take(held, now=now)
        return None

    def _take(self, held: HeldCredit, *, now: float) -> HeldCredit:
        held.taken_at = now
        self.in_use.add(held)
        endpoint = held.credit.endpoint
        self.outstanding[endpoint] = self.outstanding.get(endpoint, 0) + 1
        return held

    def _usable(self, held: HeldCredit, *, now: float) -> bool:
        if held.recalled or held.expires_at <= now:
            return False
        limit = self.health.limit(held.credit.endpoint)
        return limit is None or self.outstanding.get(held.credit.endpoint, 0) < limit

    def _offer(self, held: HeldCredit) -> bool:
        """Gives a credit to the first request that waits, keeps it or gives it back."""
        now = self.clock()
        if not self._usable(held, now=now):
            self._give_back(held)
            return False
        endpoint = held.credit.endpoint
        waiter = next((item for item in self.waiting if endpoint not in item.avoided), None)
        if waiter is not None:
            del self.waiting[waiter]
            waiter.future.set_result(self._take(held, now=now))
            return True
        self.idle.append(held)
        return True

    def _give_back(self, held: HeldCredit) -> None:
        # Others wait for it; the next maintenance is up to 0.1 s away.
        self.returning.setdefault(held.home, []).append(held.credit.credit_id)
        if self.flushing is None or self.flushing.done():
            self.flushing = asyncio.create_task(self._flush())

    async def _flush(self) -> None:
        await asyncio.gather(*(self._renew(home, []) for home in list(self.returning)))

    def _start_refill(self) -> None:
        self.wanted.set()
        if self.refilling is None or self.refilling.done():
            self.refilling = asyncio.create_task(self._refill())

    async def _refill(self) -> None:
        while True:
            await self.wanted.wait()
            if not self.waiting:
                self.wanted.clear()
                self.short = False
                continue
            got = await self._fetch()
            self.short = bool(self.waiting)
            if not got:
                await asyncio.sleep(REFILL_PAUSE_S)

    async def _fetch(self) -> int:
        got = await self._ask(self.homes.own_name)
        near = self.homes.known(self.service, near=True)
        self.rng.shuffle(near)
        for home in near:
            if self.waiting:
                got += await self._ask(home.name)
        far = self.homes.known(self.service, near=False)
        while far and self.waiting:
            # Two random choices over the free slots keep all entries from asking the same home.
            pair = self.rng.sample(far, k=min(2, len(far)))
            home = max(pair, key=lambda item: item.summaries[self.service].free)
            if self._local_wait_s() <= home.way_s:
                break
            far.remove(home)
            got += await self._ask(home.name)
        return got

    def _local_wait_s(self) -> float:
        credits_held = len(self.in_use)
        if not credits_held:
            return float("inf")
        return len(self.waiting) * self.drain.service_s / credits_held

    async def _ask(self, home: str) -> int:
        sent_at = self.clock()
        request = self._request(wanted=len(self.waiting), returned=self._take_returning(home))
        try:
            reply = await self.homes.request_credits(home=home, request=request)
        except PeerUnreachableError:
            return 0
        expires_at = sent_at + reply.credits[0].lease_s if reply.credits else sent_at
        offered = [HeldCredit(home=home, credit=credit, expires_at=expires_at) for credit in reply.credits]
        return sum(self._offer(held) for held in offered)

    def _request(
        self, *, wanted: int = 0, renewed: tuple[int, ...] = (), returned: tuple[int, ...] = ()
    ) -> CreditRequest:
        return CreditRequest(
            daemon=self.homes.own_name,
            environment=self.service[0],
            service=self.service[1],
            wanted=wanted,
            renewed=renewed,
            returned=returned,
            waiting=len(self.waiting),
            avoided=(*self.health.ejected(self.service), *self._at_limit(), *self._avoided_by_all()),
        )

    def _avoided_by_all(self) -> frozenset[str]:
        first, *others = self.waiting or (None,)
        if first is None or not first.avoided:
            return frozenset()
        return first.avoided.intersection(*(waiter.avoided for waiter in others))

    def _at_limit(self) -> list[str]:
        return [
            endpoint
            for endpoint, count in self.outstanding.items()
            if (limit := self.health.limit(endpoint)) is not None and 0 < limit <= count
        ]

    def _take_returning(self, home: str) -> tuple[int, ...]:
        return tuple(self.returning.pop(home, ()))

    def _trim(self) -> None:
        now = self.clock()
        self.idle = [held for held in self.idle if held.expires_at > now]
        if now - self.window_at < IDLE_WINDOW_S:
            return
        for _ in range(min(self.least_idle, len(self.idle))):
            held = self.idle.pop(0)
            self.returning.setdefault(held.home, []).append(held.credit.credit_id)
        self.least_idle = len(self.idle)
        self.window_at = now

    async def _renew(self, home: str, held: list[HeldCredit]) -> None:
        sent_at = self.clock()
        due = any(item.expires_at - sent_at < item.credit.lease_s - RENEW_S for item in held)
        if not due and home not in self.returning:
            return
        by_id = {item.credit.credit_id: item for item in held}
        request = self._request(renewed=tuple(by_id), returned=self._take_returning(home))
        try:
            reply = await self.homes.request_credits(home=home, request=request)
        except PeerUnreachableError:
            return  # the leases end by themselves
        self._note(by_id, reply=reply, sent_at=sent_at, home=home)

    def _note(self, by_id: dict[int, HeldCredit], *, reply: CreditReply, sent_at: float, home: str) -> None:
        renewed = set(reply.renewed)
        recalled = set(reply.recalled)
        for credit_id, held in by_id.items():
            if held.home != home:
                continue  # handed over to a new home in the meantime
            if credit_id in renewed:
                held.expires_at = max(held.expires_at, sent_at + held.credit.lease_s)
            if credit_id in recalled or credit_id not in renewed:
                held.recalled = True
        for held in [held for held in self.idle if held.recalled]:
            self.idle.remove(held)
            self._give_back(held)


__all__ = ["ServiceQueue"]

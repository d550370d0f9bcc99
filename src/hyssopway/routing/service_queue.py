"""Queue of credits and waiting requests of one service at one entry daemon."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING, Any

from expression import Error, Ok, Result

from hyssopway.peer import CreditReply, CreditRequest, PeerUnreachableError
from hyssopway.result import Failure, ResultCode

from .held_credit import HeldCredit
from .throughput_meter import ThroughputMeter
from .waiter import Waiter

if TYPE_CHECKING:
    from hyssopway.clock import Clock
    from hyssopway.endpoint import EndpointHealth

    from .home_directory import HomeDirectory

# Pause of the refill task while no home has a free credit. Released credits are reassigned without it.
REFILL_PAUSE_S = 0.02
# All entries learn of a new endpoint by the next poll of summaries, which runs every 0.5 s.
NO_ENDPOINT_WAIT_S = 1.0
RENEW_INTERVAL_S = 0.5
# A retry waits this long for another endpoint before it accepts one that failed an earlier attempt.
AVOIDANCE_S = 0.1
# Without a margin, 1% of the rejections in a burst came only after 0.9 s of waiting, because credits are
# recalled for other entries and service times vary. The shorter queue keeps the slots equally busy.
WAIT_MARGIN = 1.5
# Credits that no request needed in this window are returned.
IDLE_WINDOW_S = 0.3
RETRY_JITTER = 0.5
MAX_RETRY_AFTER_S = 30.0


class ServiceQueue:
    """Assigns credits to requests in order of arrival.

    A released credit goes to the next waiting request without a call to its home. A single refill task
    requests credits in batches while requests wait.

    Attributes:
        service: Environment and name of the service.
        homes: Directory of the homes of endpoints.
        health: Health of endpoints, from the outcomes of requests sent by this daemon.
        idle: Credits not in use.
        in_use: Credits of requests in progress.
        waiting: Waiting requests in order of arrival.
        throughput: Service time and completion rate.
        outstanding: Number of requests in progress by endpoint.
        refill_needed: Set while requests wait.
        credits_to_return: IDs of credits to return, by home.
        min_idle: Minimum number of idle credits since the window began.
        credits_short: Whether requests still waited after the last round of credit requests.
    """

    __slots__ = (
        "clock",
        "credits_short",
        "credits_to_return",
        "flush_task",
        "health",
        "homes",
        "idle",
        "in_use",
        "min_idle",
        "outstanding",
        "refill_needed",
        "refill_task",
        "rng",
        "service",
        "throughput",
        "waiting",
        "window_start",
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
        self.throughput = ThroughputMeter(clock=clock)
        self.refill_needed = asyncio.Event()
        self.credits_to_return: dict[str, list[int]] = {}
        self.min_idle = 0
        self.credits_short = False
        self.window_start = clock()
        self.refill_task: asyncio.Task[None] | None = None
        self.flush_task: asyncio.Task[None] | None = None

    async def acquire(
        self, *, deadline: float, queue_limit: int, avoided: frozenset[str] = frozenset()
    ) -> Result[HeldCredit, Failure]:
        """Waits for a slot; fails at once if none is expected to be free in time."""
        if not self.waiting:
            held = self._take_idle(avoided=avoided)
            if held is not None:
                return Ok(held)
        failure = self._check_admission(deadline=deadline, queue_limit=queue_limit)
        if failure is not None:
            return Error(failure)
        waiter = Waiter(
            future=asyncio.get_running_loop().create_future(),
            give_up_at=deadline - min(self.throughput.service_s, (deadline - self.clock()) / 2),
            avoided=avoided,
        )
        self.waiting[waiter] = None
        self._start_refill()
        try:
            return await self._wait(waiter)
        finally:
            self.waiting.pop(waiter, None)

    def release(self, held: HeldCredit) -> None:
        """Releases a credit and passes it to the next waiting request."""
        self.in_use.discard(held)
        remaining = self.outstanding.pop(held.credit.endpoint, 1) - 1
        if remaining:
            self.outstanding[held.credit.endpoint] = remaining
        self.throughput.record_completion(seconds=self.clock() - held.taken_at)
        self._place_credit(held)

    def reassign_home(self, *, endpoint: str, home: str) -> list[HeldCredit]:
        """Records the new home of an endpoint and returns the credits held for the endpoint."""
        now = self.clock()
        self.idle = [held for held in self.idle if held.expires_at > now]
        found = [held for held in (*self.idle, *self.in_use) if held.credit.endpoint == endpoint]
        for held in found:
            held.home = home
        return found

    def dump(self) -> dict[str, Any]:
        """Returns the state that determines how the next requests are handled."""
        return {
            "waiting": len(self.waiting),
            "idle": len(self.idle),
            "in_use": len(self.in_use),
            "outstanding": dict(self.outstanding),
            "short": self.credits_short,
            "service_s": self.throughput.service_s,
            "ended_per_s": self.throughput.rate,
            "ejected": list(self.health.ejected_endpoints(self.service)),
        }

    async def refresh_credits(self) -> None:
        """Renews leases and returns unneeded credits."""
        self._trim_idle()
        held_by_home: dict[str, list[HeldCredit]] = {}
        for held in (*self.idle, *self.in_use):
            held_by_home.setdefault(held.home, []).append(held)
        names = held_by_home.keys() | self.credits_to_return.keys()
        await asyncio.gather(*(self._renew(home, held_by_home.get(home, [])) for home in names))

    def retry_after_s(self) -> float:
        """Returns the estimated time in seconds to empty the queue, with jitter so that retries are spread out."""
        rate = self.throughput.rate or 1.0
        return min(MAX_RETRY_AFTER_S, len(self.waiting) / rate) + self.rng.uniform(0, RETRY_JITTER)

    def _check_admission(self, *, deadline: float, queue_limit: int) -> Failure | None:
        if len(self.waiting) >= queue_limit:
            message = f"the queue of {self.service[1]} is full: {len(self.waiting)} requests are waiting at this entry"
            return self._refusal(message)
        wait_s = self._expected_wait_s(len(self.waiting) + 1)
        left_s = deadline - self.clock()
        if left_s <= 0 or wait_s + self.throughput.service_s > left_s:
            message = (
                f"the wait for a slot of {self.service[1]} is about {wait_s:.2f} s, too long for the deadline"
            )
            return self._refusal(message)
        return None

    def _refusal(self, message: str) -> Failure:
        return Failure(code=ResultCode.QUEUE_FULL, message=message, retry_after_s=self.retry_after_s())

    def _expected_wait_s(self, position: int) -> float:
        held = len(self.in_use) + len(self.idle)
        if not held or not self.credits_short:
            # While the homes have free credits, an entry can get at least an equal share of all slots.
            held = max(1, held, self.homes.count_slots(self.service) // (len(self.homes.others) + 1))
        return position * self.throughput.service_s / held * WAIT_MARGIN

    async def _wait(self, waiter: Waiter) -> Result[HeldCredit, Failure]:
        started = self.clock()
        limit = min(waiter.give_up_at, started + (AVOIDANCE_S if waiter.avoided else NO_ENDPOINT_WAIT_S))
        while True:
            try:
                async with asyncio.timeout(max(0.0, limit - self.clock())):
                    return Ok(await asyncio.shield(waiter.future))
            except TimeoutError:
                if waiter.future.done():
                    return Ok(waiter.future.result())
                if limit >= waiter.give_up_at:
                    return Error(
                        self._refusal(f"no slot of {self.service[1]} became free before the deadline")
                    )
                if not self.in_use and not self.idle and not self.homes.count_slots(self.service):
                    return Error(self._no_endpoint())
                if waiter.avoided and (held := self._stop_avoiding(waiter)) is not None:
                    return Ok(held)
                limit = min(waiter.give_up_at, max(limit, started + NO_ENDPOINT_WAIT_S))
                limit = limit if limit > self.clock() else waiter.give_up_at
            except asyncio.CancelledError:
                if waiter.future.done():
                    self.release(waiter.future.result())
                raise

    def _no_endpoint(self) -> Failure:
        message = f"no endpoint of {self.service[1]} is known to this entry"
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
            usable = [held for held in self.idle if self._is_usable(held, now=now)]
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
            self.min_idle = min(self.min_idle, len(self.idle))
            return self._mark_in_use(held, now=now)
        return None

    def _mark_in_use(self, held: HeldCredit, *, now: float) -> HeldCredit:
        held.taken_at = now
        self.in_use.add(held)
        endpoint = held.credit.endpoint
        self.outstanding[endpoint] = self.outstanding.get(endpoint, 0) + 1
        return held

    def _is_usable(self, held: HeldCredit, *, now: float) -> bool:
        if held.recalled or held.expires_at <= now:
            return False
        limit = self.health.concurrency_limit(held.credit.endpoint)
        return limit is None or self.outstanding.get(held.credit.endpoint, 0) < limit

    def _place_credit(self, held: HeldCredit) -> bool:
        """Assigns a credit to the first eligible waiting request, or keeps it idle; returns it if it is unusable."""
        now = self.clock()
        if not self._is_usable(held, now=now):
            self._return_credit(held)
            return False
        endpoint = held.credit.endpoint
        waiter = next((item for item in self.waiting if endpoint not in item.avoided), None)
        if waiter is not None:
            del self.waiting[waiter]
            waiter.future.set_result(self._mark_in_use(held, now=now))
            return True
        self.idle.append(held)
        return True

    def _return_credit(self, held: HeldCredit) -> None:
        # Requests at other entries may be waiting for it; the next periodic refresh is up to 0.1 s away.
        self.credits_to_return.setdefault(held.home, []).append(held.credit.credit_id)
        if self.flush_task is None or self.flush_task.done():
            self.flush_task = asyncio.create_task(self._flush_returns())

    async def _flush_returns(self) -> None:
        await asyncio.gather(*(self._renew(home, []) for home in list(self.credits_to_return)))

    def _start_refill(self) -> None:
        self.refill_needed.set()
        if self.refill_task is None or self.refill_task.done():
            self.refill_task = asyncio.create_task(self._refill())

    async def _refill(self) -> None:
        while True:
            await self.refill_needed.wait()
            if not self.waiting:
                self.refill_needed.clear()
                self.credits_short = False
                continue
            received = await self._fetch_credits()
            self.credits_short = bool(self.waiting)
            if not received:
                await asyncio.sleep(REFILL_PAUSE_S)

    async def _fetch_credits(self) -> int:
        received = await self._request_credits(self.homes.own_name)
        near = self.homes.find_homes(self.service, near=True)
        self.rng.shuffle(near)
        for home in near:
            if self.waiting:
                received += await self._request_credits(home.name)
        far = self.homes.find_homes(self.service, near=False)
        while far and self.waiting:
            # Choosing the better of two random homes keeps the entries from all requesting from the same one.
            pair = self.rng.sample(far, k=min(2, len(far)))
            home = max(pair, key=lambda item: item.summaries[self.service].free)
            if self._estimated_local_wait_s() <= home.way_s:
                break
            far.remove(home)
            received += await self._request_credits(home.name)
        return received

    def _estimated_local_wait_s(self) -> float:
        credits_held = len(self.in_use)
        if not credits_held:
            return float("inf")
        return len(self.waiting) * self.throughput.service_s / credits_held

    async def _request_credits(self, home: str) -> int:
        sent_at = self.clock()
        request = self._request(wanted=len(self.waiting), returned=self._pop_credits_to_return(home))
        try:
            reply = await self.homes.request_credits(home=home, request=request)
        except PeerUnreachableError:
            return 0
        expires_at = sent_at + reply.credits[0].lease_s if reply.credits else sent_at
        offered = [HeldCredit(home=home, credit=credit, expires_at=expires_at) for credit in reply.credits]
        return sum(self._place_credit(held) for held in offered)

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
            avoided=(
                *self.health.ejected_endpoints(self.service),
                *self._endpoints_at_limit(),
                *self._avoided_by_all(),
            ),
        )

    def _avoided_by_all(self) -> frozenset[str]:
        first, *others = self.waiting or (None,)
        if first is None or not first.avoided:
            return frozenset()
        return first.avoided.intersection(*(waiter.avoided for waiter in others))

    def _endpoints_at_limit(self) -> list[str]:
        return [
            endpoint
            for endpoint, count in self.outstanding.items()
            if (limit := self.health.concurrency_limit(endpoint)) is not None and 0 < limit <= count
        ]

    def _pop_credits_to_return(self, home: str) -> tuple[int, ...]:
        return tuple(self.credits_to_return.pop(home, ()))

    def _trim_idle(self) -> None:
        now = self.clock()
        self.idle = [held for held in self.idle if held.expires_at > now]
        if now - self.window_start < IDLE_WINDOW_S:
            return
        for _ in range(min(self.min_idle, len(self.idle))):
            held = self.idle.pop(0)
            self.credits_to_return.setdefault(held.home, []).append(held.credit.credit_id)
        self.min_idle = len(self.idle)
        self.window_start = now

    async def _renew(self, home: str, held: list[HeldCredit]) -> None:
        sent_at = self.clock()
        due = any(item.expires_at - sent_at < item.credit.lease_s - RENEW_INTERVAL_S for item in held)
        if not due and home not in self.credits_to_return:
            return
        by_id = {item.credit.credit_id: item for item in held}
        request = self._request(renewed=tuple(by_id), returned=self._pop_credits_to_return(home))
        try:
            reply = await self.homes.request_credits(home=home, request=request)
        except PeerUnreachableError:
            return  # unrenewed leases expire
        self._apply_renewal(by_id, reply=reply, sent_at=sent_at, home=home)

    def _apply_renewal(
        self, by_id: dict[int, HeldCredit], *, reply: CreditReply, sent_at: float, home: str
    ) -> None:
        renewed = set(reply.renewed)
        recalled = set(reply.recalled)
        for credit_id, held in by_id.items():
            if held.home != home:
                continue  # the endpoint changed its home in the meantime
            if credit_id in renewed:
                held.expires_at = max(held.expires_at, sent_at + held.credit.lease_s)
            if credit_id in recalled or credit_id not in renewed:
                held.recalled = True
        for held in [held for held in self.idle if held.recalled]:
            self.idle.remove(held)
            self._return_credit(held)


__all__ = ["ServiceQueue"]

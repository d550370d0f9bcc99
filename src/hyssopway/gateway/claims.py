"""Claims of non-idempotent requests."""

from __future__ import annotations

import asyncio
import base64
import secrets
from dataclasses import dataclass
from typing import TYPE_CHECKING

from expression import Error, Ok, Result

from hyssopway.control.claim_id import make_claim_id
from hyssopway.control.command import ClaimRequest, ReleaseClaim, ResolveClaim
from hyssopway.event import Event, log_event
from hyssopway.result import Failure, ResultCode, WorkState

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from hyssopway.control.command import Command
    from hyssopway.control.record import Claim
    from hyssopway.document import Service
    from hyssopway.replica import Submitter

CLAIM_TIMEOUT_S = 3.0
# An answer is passed on after this time even if it is not stored yet; storing goes on.
RESOLVE_WAIT_S = 1.0
SUBMIT_TIMEOUT_S = 10.0
# Resolving and releasing outlast an election and a short loss of the quorum.
SUBMIT_TRIES = 6
MAX_KEPT_BODY_BYTES = 16 * 1024
GENERATION_RUN = 1
_UNKNOWN = (ResultCode.NO_QUORUM, ResultCode.OUTCOME_UNKNOWN)


@dataclass(frozen=True, slots=True, kw_only=True)
class HeldClaim:
    """A claim that this daemon may run.

    Attributes:
        claim_id: The claim.
        token: Identity of this try.
    """

    claim_id: str
    token: str


class ClaimManager:
    """Makes sure that a non-idempotent request runs at most once.

    Attributes:
        own_name: Name of this daemon.
        submitter: Way to the agreed state.
        tasks: Outcomes that are still being brought to the agreed state.
    """

    __slots__ = ("own_name", "submitter", "tasks")

    def __init__(self, *, own_name: str, submitter: Submitter) -> None:
        self.own_name = own_name
        self.submitter = submitter
        self.tasks: set[asyncio.Task[None]] = set()

    async def claim(
        self,
        *,
        environment: str,
        service: Service,
        team: str,
        idempotency_key: str,
        fingerprint: str,
        deadline_s: float,
    ) -> Result[HeldClaim | Claim, Failure]:
        """Claims a request before its first byte goes to an endpoint.

        Returns:
            A held claim when the request may run now, a stored claim when it ran before, or a failure.
        """
        claim_id = make_claim_id(
            environment=environment, service=service.name, team=team, idempotency_key=idempotency_key
        )
        held = HeldClaim(claim_id=claim_id, token=secrets.token_hex(8))
        command = ClaimRequest(
            claim_id=held.claim_id,
            service=service.name,
            fingerprint=fingerprint,
            daemon=self.own_name,
            token=held.token,
            deadline_s=deadline_s,
            kept_s=service.outcome_kept_s,
        )
        try:
            result = await self.submitter.submit(command, timeout_s=min(CLAIM_TIMEOUT_S, deadline_s))
        except asyncio.CancelledError:
            self.release(held)
            raise
        match result:
            case Result(tag="ok", ok=outcome) if outcome.generation == GENERATION_RUN:
                return Ok(held)
            case Result(tag="ok"):
                return self._stored(held)
            case Result(error=failure):
                if failure.code is ResultCode.OUTCOME_UNKNOWN:
                    # It may still be granted; without a release every resend would be refused.
                    self.release(held)
                return Error(_explain(failure))

    async def resolve(self, held: HeldClaim, *, status: int, content_type: str, body: bytes | None) -> None:
        """Keeps the answer for resends; None for one that is too large."""
        kept = base64.b64encode(body).decode() if body is not None else None
        command = ResolveClaim(
            claim_id=held.claim_id, token=held.token, status=status, content_type=content_type, body=kept
        )
        task = self._begin(self._submit(command, claim_id=held.claim_id))
        await asyncio.wait({task}, timeout=RESOLVE_WAIT_S)

    def release(self, held: HeldClaim) -> None:
        """Gives up a claim whose request surely did not run and does not run later."""
        command = ReleaseClaim(claim_id=held.claim_id, token=held.token)
        self._begin(self._submit(command, claim_id=held.claim_id))

    async def wait_until_stored(self, *, timeout_s: float) -> None:
        """Waits until all outcomes are stored."""
        if self.tasks:
            await asyncio.wait(set(self.tasks), timeout=timeout_s)

    def _stored(self, held: HeldClaim) -> Result[HeldClaim | Claim, Failure]:
        claim = self.submitter.replica.state.tables.claims.get(held.claim_id)
        if claim is not None and claim.status:
            return Ok(claim)
        # This daemon has not applied the outcome yet.
        message = "the request ran before; ask again with the same idempotency key for its answer"
        failure = Failure(
            code=ResultCode.CLAIM_PENDING, message=message, work=WorkState.RAN, retry_after_s=1.0
        )
        return Error(failure)

    def _begin(self, work: Coroutine[None, None, None]) -> asyncio.Task[None]:
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def _submit(self, command: Command, *, claim_id: str) -> None:
        for _ in range(SUBMIT_TRIES):
            result = await self.submitter.submit(command, timeout_s=SUBMIT_TIMEOUT_S)
            if result.is_ok() or result.error.code not in _UNKNOWN:
                return
        log_event(Event.CLAIM_UNRESOLVED, claim=claim_id)


def _explain(failure: Failure) -> Failure:
    if failure.code is ResultCode.OUTCOME_UNKNOWN:
        # The claim may be held now, but nothing was sent to an endpoint under it.
        message = "the request could not be claimed in time and was not run; send it again"
        return Failure(code=ResultCode.NO_QUORUM, message=message, work=WorkState.NOT_RUN, retry_after_s=1.0)
    return failure


__all__ = ["MAX_KEPT_BODY_BYTES", "ClaimManager", "HeldClaim"]

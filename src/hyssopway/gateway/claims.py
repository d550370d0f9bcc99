"""Claims of idempotency keys for non-idempotent requests."""

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
# A response is relayed after this time even if it isn't stored yet; storing continues in the background.
RESOLVE_WAIT_S = 1.0
SUBMIT_TIMEOUT_S = 10.0
# Attempts to resolve or release outlast a leader election and a short loss of quorum.
SUBMIT_ATTEMPTS = 6
MAX_STORED_BODY_BYTES = 16 * 1024
GENERATION_GRANTED = 1
_UNKNOWN_OUTCOME_CODES = (ResultCode.NO_QUORUM, ResultCode.OUTCOME_UNKNOWN)


@dataclass(frozen=True, slots=True, kw_only=True)
class HeldClaim:
    """A granted claim, under which this daemon may run the request.

    Attributes:
        claim_id: ID of the claim.
        token: Token that identifies this grant of the claim.
    """

    claim_id: str
    token: str


class ClaimManager:
    """Ensures that a non-idempotent request runs at most once.

    Attributes:
        own_name: Name of this daemon.
        submitter: Submits commands to the replicated state.
        tasks: Commands that are still being submitted.
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
        """Claims a request before its first byte is sent to an endpoint.

        Returns:
            A held claim if the request may run now, the stored claim if it has run, or a failure.
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
            case Result(tag="ok", ok=outcome) if outcome.generation == GENERATION_GRANTED:
                return Ok(held)
            case Result(tag="ok"):
                return self._stored_outcome(held)
            case Result(error=failure):
                if failure.code is ResultCode.OUTCOME_UNKNOWN:
                    # The claim may still be granted; without a release, every retry of the caller would be rejected.
                    self.release(held)
                return Error(_caller_failure(failure))

    async def resolve(self, held: HeldClaim, *, status: int, content_type: str, body: bytes | None) -> None:
        """Stores the response for retries; `body` is None if the response is too large to store."""
        encoded_body = base64.b64encode(body).decode() if body is not None else None
        command = ResolveClaim(
            claim_id=held.claim_id,
            token=held.token,
            status=status,
            content_type=content_type,
            body=encoded_body,
        )
        task = self._start_task(self._submit(command, claim_id=held.claim_id))
        await asyncio.wait({task}, timeout=RESOLVE_WAIT_S)

    def release(self, held: HeldClaim) -> None:
        """Releases a claim whose request did not run and will not run."""
        command = ReleaseClaim(claim_id=held.claim_id, token=held.token)
        self._start_task(self._submit(command, claim_id=held.claim_id))

    async def wait_until_stored(self, *, timeout_s: float) -> None:
        """Waits up to `timeout_s` seconds until all outcomes are stored."""
        if self.tasks:
            await asyncio.wait(set(self.tasks), timeout=timeout_s)

    def _stored_outcome(self, held: HeldClaim) -> Result[HeldClaim | Claim, Failure]:
        claim = self.submitter.replica.state.tables.claims.get(held.claim_id)
        if claim is not None and claim.status:
            return Ok(claim)
        # The replica of this daemon has not applied the outcome yet.
        message = "the request has already run; retry with the same idempotency key to get its response"
        failure = Failure(
            code=ResultCode.CLAIM_PENDING, message=message, work=WorkState.RAN, retry_after_s=1.0
        )
        return Error(failure)

    def _start_task(self, work: Coroutine[None, None, None]) -> asyncio.Task[None]:
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def _submit(self, command: Command, *, claim_id: str) -> None:
        for _ in range(SUBMIT_ATTEMPTS):
            result = await self.submitter.submit(command, timeout_s=SUBMIT_TIMEOUT_S)
            if result.is_ok() or result.error.code not in _UNKNOWN_OUTCOME_CODES:
                return
        log_event(Event.CLAIM_UNRESOLVED, claim=claim_id)


def _caller_failure(failure: Failure) -> Failure:
    if failure.code is ResultCode.OUTCOME_UNKNOWN:
        # The claim may have been granted, but nothing was sent to an endpoint under it.
        message = "the request could not be claimed in time and was not run; retry it"
        return Failure(code=ResultCode.NO_QUORUM, message=message, work=WorkState.NOT_RUN, retry_after_s=1.0)
    return failure


__all__ = ["MAX_STORED_BODY_BYTES", "ClaimManager", "HeldClaim"]

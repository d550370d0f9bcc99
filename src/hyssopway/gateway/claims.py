"""Claims of non-idempotent requests."""

from __future__ import annotations

import base64
import hashlib
import secrets
from dataclasses import dataclass
from typing import TYPE_CHECKING

from expression import Error, Ok, Result

from hyssopway.control.command import ClaimRequest, ReleaseClaim, ResolveClaim
from hyssopway.event import Event, log_event
from hyssopway.result import Failure, ResultCode, WorkState

if TYPE_CHECKING:
    from hyssopway.control.record import Claim
    from hyssopway.document import Service
    from hyssopway.replica import Submitter

CLAIM_TIMEOUT_S = 3.0
RESOLVE_TIMEOUT_S = 10.0
MAX_KEPT_BODY_BYTES = 16 * 1024
GENERATION_RUN = 1


@dataclass(frozen=True, slots=True, kw_only=True)
class HeldClaim:
    """A claim that this daemon may run.

    Attributes:
        claim_id: The claim.
        token: Identity of this try.
    """

    claim_id: str
    token: str


class ClaimKeeper:
    """Makes sure that a non-idempotent request runs at most once.

    Attributes:
        own_name: Name of this daemon.
        submitter: Way to the agreed state.
    """

    __slots__ = ("own_name", "submitter")

    def __init__(self, *, own_name: str, submitter: Submitter) -> None:
        self.own_name = own_name
        self.submitter = submitter

    async def claim(
        self, *, service: Service, team: str, idempotency_key: str, fingerprint: str, deadline_s: float
    ) -> Result[HeldClaim | Claim, Failure]:
        """Claims a request before its first byte goes to an endpoint.

        Returns:
            A held claim when the request may run now, a stored claim when it ran before, or a failure.
        """
        identity = f"{service.name}\0{team}\0{idempotency_key}"
        held = HeldClaim(
            claim_id=hashlib.sha256(identity.encode()).hexdigest()[:32], token=secrets.token_hex(8)
        )
        command = ClaimRequest(
            claim_id=held.claim_id,
            service=service.name,
            fingerprint=fingerprint,
            daemon=self.own_name,
            token=held.token,
            deadline_s=deadline_s,
            kept_s=service.outcome_kept_s,
        )
        match await self.submitter.submit(command, timeout_s=min(CLAIM_TIMEOUT_S, deadline_s)):
            case Result(tag="ok", ok=outcome) if outcome.generation == GENERATION_RUN:
                return Ok(held)
            case Result(tag="ok"):
                return Ok(self.submitter.replica.state.tables.claims[held.claim_id])
            case Result(error=failure):
                return Error(_explain(failure))

    async def resolve(self, held: HeldClaim, *, status: int, content_type: str, body: bytes) -> None:
        """Keeps the answer for resends."""
        kept = base64.b64encode(body).decode() if len(body) <= MAX_KEPT_BODY_BYTES else None
        command = ResolveClaim(
            claim_id=held.claim_id, token=held.token, status=status, content_type=content_type, body=kept
        )
        result = await self.submitter.submit(command, timeout_s=RESOLVE_TIMEOUT_S)
        if result.is_error():
            log_event(Event.CLAIM_UNRESOLVED, claim=held.claim_id)

    async def release(self, held: HeldClaim) -> None:
        """Gives up a claim whose request surely did not run."""
        command = ReleaseClaim(claim_id=held.claim_id, token=held.token)
        await self.submitter.submit(command, timeout_s=RESOLVE_TIMEOUT_S)


def _explain(failure: Failure) -> Failure:
    if failure.code is ResultCode.OUTCOME_UNKNOWN:
        # The claim may be held now, but nothing was sent to an endpoint under it.
        message = "the request could not be claimed in time and was not run; send it again"
        return Failure(code=ResultCode.NO_QUORUM, message=message, work=WorkState.NOT_RUN, retry_after_s=1.0)
    return failure


__all__ = ["ClaimKeeper", "HeldClaim"]

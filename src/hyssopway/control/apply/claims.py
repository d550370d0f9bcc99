"""Applies claims, which make sure that a non-idempotent request runs at most once."""

from __future__ import annotations

from typing import TYPE_CHECKING

from expression import Ok, Result

from hyssopway.control.change import Change
from hyssopway.control.record import Claim
from hyssopway.result import ResultCode, WorkState

from .refusal import refuse

if TYPE_CHECKING:
    from hyssopway.control.command import ClaimRequest, ReleaseClaim, ResolveClaim
    from hyssopway.control.state import ControlState
    from hyssopway.result import Failure


def claim_request(state: ControlState, command: ClaimRequest) -> Result[Change, Failure]:
    """Reserves the execution of a request for one attempt.

    Generation 1 of the result means that the caller may run the request, generation 2 that its outcome is
    already stored.
    """
    _evict_expired(state)
    claim = state.tables.claims.get(command.claim_id)
    if claim is None:
        _add_claim(state, command)
        return Ok(Change(generation=1, reference=command.claim_id))
    if claim.fingerprint != command.fingerprint:
        return refuse(
            ResultCode.REQUEST_ID_REUSED, "idempotency key was used for another request; use a new one"
        )
    if claim.status:
        return Ok(Change(generation=2, reference=command.claim_id))
    if claim.token == command.token:
        return Ok(Change(generation=1, reference=command.claim_id))
    if state.tables.now_ms > claim.unknown_after_ms:
        message = (
            "an earlier attempt of this request may have run and its outcome is unknown; it is not run again"
        )
        return refuse(ResultCode.CLAIM_UNKNOWN, message, work=WorkState.MAY_HAVE_RUN)
    message = "an earlier attempt of this request is in progress; retry with the same idempotency key"
    return refuse(ResultCode.CLAIM_PENDING, message, work=WorkState.MAY_HAVE_RUN)


def resolve_claim(state: ControlState, command: ResolveClaim) -> Result[Change, Failure]:
    """Stores the response of the attempt that ran."""
    claim = state.tables.claims.get(command.claim_id)
    if claim is None or claim.token != command.token:
        return refuse(ResultCode.STALE_EPOCH, "claim is held by another attempt")
    if not claim.status:
        claim.status = command.status
        claim.content_type = command.content_type
        claim.body = command.body
        claim.kept_until_ms = state.tables.now_ms + round(claim.kept_s * 1000)
    return Ok(Change(generation=2, reference=claim.claim_id))


def release_claim(state: ControlState, command: ReleaseClaim) -> Result[Change, Failure]:
    """Deletes a claim whose request is known not to have run."""
    claim = state.tables.claims.get(command.claim_id)
    if claim is None or claim.token != command.token or claim.status:
        return refuse(ResultCode.STALE_EPOCH, "claim is held by another attempt or resolved")
    del state.tables.claims[command.claim_id]
    return Ok(Change(reference=command.claim_id))


def _add_claim(state: ControlState, command: ClaimRequest) -> None:
    state.tables.claims[command.claim_id] = Claim(
        claim_id=command.claim_id,
        service=command.service,
        fingerprint=command.fingerprint,
        daemon=command.daemon,
        token=command.token,
        unknown_after_ms=state.tables.now_ms + round(command.deadline_s * 1000),
        # If the claim expired while its request is in progress, a retry could run the request again.
        kept_until_ms=state.tables.now_ms + round((command.deadline_s + command.kept_s) * 1000),
        kept_s=command.kept_s,
    )


def _evict_expired(state: ControlState) -> None:
    # Claims are stored in order of creation, so only the oldest can have expired. Checking a few per call
    # bounds the work.
    for claim_id in list(_oldest_claim_ids(state, count=4)):
        if state.tables.claims[claim_id].kept_until_ms < state.tables.now_ms:
            del state.tables.claims[claim_id]


def _oldest_claim_ids(state: ControlState, *, count: int) -> list[str]:
    claim_ids = []
    for claim_id in state.tables.claims:
        claim_ids.append(claim_id)
        if len(claim_ids) == count:
            break
    return claim_ids


__all__ = ["claim_request", "release_claim", "resolve_claim"]

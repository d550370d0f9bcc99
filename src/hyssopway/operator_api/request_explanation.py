"""Explains the outcome of a request by its ID."""

from __future__ import annotations

from itertools import product
from typing import TYPE_CHECKING, Any

from hyssopway.control.claim_id import make_claim_id
from hyssopway.control.state import PRODUCTION, TRIAL

if TYPE_CHECKING:
    from collections.abc import Iterator

    from hyssopway.control import ControlState
    from hyssopway.control.record import Claim


def explain_request(*, state: ControlState, request_id: str) -> dict[str, Any] | None:
    """Returns the stored outcome of an operator's change and the claims of non-idempotent requests.

    Returns:
        None if nothing is stored for the request ID.
    """
    stored = state.tables.outcomes.get(request_id)
    claims = [
        _describe_claim(claim, environment=environment, team=team)
        for claim, environment, team in _find_claims(state, request_id=request_id)
    ]
    if stored is None and not claims:
        return None
    return {"request": request_id, "change": stored.outcome if stored else None, "claims": claims}


def _find_claims(state: ControlState, *, request_id: str) -> Iterator[tuple[Claim, str, str]]:
    documents = [state.document(environment=name) for name in (PRODUCTION, TRIAL)]
    present = [document for document in documents if document is not None]
    services = {
        service.name for document in present for service in document.services if not service.idempotent
    }
    teams = {team.name for document in present for team in document.teams} | {""}
    for environment, service, team in product((PRODUCTION, TRIAL), sorted(services), sorted(teams)):
        claim_id = make_claim_id(
            environment=environment, service=service, team=team, idempotency_key=request_id
        )
        claim = state.tables.claims.get(claim_id)
        if claim is not None:
            yield claim, environment, team


def _describe_claim(claim: Claim, *, environment: str, team: str) -> dict[str, Any]:
    return {
        "claim": claim.claim_id,
        "environment": environment,
        "service": claim.service,
        "team": team,
        "daemon": claim.daemon,
        "status": claim.status or "pending",
        "answer_kept": claim.body is not None,
    }


__all__ = ["explain_request"]

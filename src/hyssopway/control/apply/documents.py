"""Applies commands that change the active documents."""

from __future__ import annotations

from typing import TYPE_CHECKING

from expression import Ok, Result

from hyssopway.control.change import Change
from hyssopway.control.record import StoredDocument, Zone
from hyssopway.document import digest_document, parse_document
from hyssopway.result import ResultCode

from .refusal import refuse

if TYPE_CHECKING:
    from hyssopway.control.command import PromoteDocument, TrialDocument
    from hyssopway.control.state import ControlState
    from hyssopway.document import EnvironmentDocument
    from hyssopway.result import Failure

TRIAL = "trial"
PRODUCTION = "production"

# A rollback needs recent documents only; operators keep older ones in version control.
MAX_HISTORY = 200


def trial_document(state: ControlState, command: TrialDocument) -> Result[Change, Failure]:
    """Activates a document in the trial environment."""
    return _activate(
        state,
        environment=TRIAL,
        text=command.text,
        operator=command.operator,
        expected_generation=command.expected_generation,
    )


def promote_document(state: ControlState, command: PromoteDocument) -> Result[Change, Failure]:
    """Activates a document in production that the trial environment accepted before."""
    text = _find_trialed_text(state, digest=command.digest)
    if text is None:
        message = f"document {command.digest[:12]} was not accepted by the trial environment; run trial first"
        return refuse(ResultCode.NOT_TRIALED, message)
    before = state.document()
    result = _activate(
        state,
        environment=PRODUCTION,
        text=text,
        operator=command.operator,
        expected_generation=command.expected_generation,
    )
    after = state.document()
    if before and after and before.jobs.cut_off_run_s > after.jobs.cut_off_run_s:
        state.tables.record_cut_off(before.jobs.cut_off_run_s)
    return result


def _find_trialed_text(state: ControlState, *, digest: str) -> str | None:
    stored = state.tables.documents.get(TRIAL)
    candidates = [*([stored] if stored else []), *state.tables.history]
    return next(
        (item.text for item in candidates if item.environment == TRIAL and item.digest == digest), None
    )


def _activate(
    state: ControlState,
    *,
    environment: str,
    text: str,
    operator: str,
    expected_generation: int,
) -> Result[Change, Failure]:
    current = state.tables.documents.get(environment)
    generation = current.generation if current else 0
    if generation != expected_generation:
        winner = (
            f"{current.operator} put {current.digest[:12]} in force" if current else "nothing is in force"
        )
        message = f"{environment} is at generation {generation}, not {expected_generation}: {winner}"
        return refuse(ResultCode.GENERATION_CONFLICT, message)
    match parse_document(text=text, file=environment):
        case Result(tag="ok", ok=document):
            pass
        case Result(error=problems):
            return refuse(ResultCode.DOCUMENT_INVALID, "; ".join(str(problem) for problem in problems))
    if current is not None:
        state.tables.history.append(current)
        del state.tables.history[:-MAX_HISTORY]
    state.tables.documents[environment] = StoredDocument(
        environment=environment,
        generation=generation + 1,
        digest=digest_document(text=text),
        text=text,
        operator=operator,
        at_ms=state.tables.wall_ms,
    )
    state.indexes.parsed[environment] = document
    _add_missing_zones(state, document=document)
    return Ok(Change(generation=generation + 1, reference=digest_document(text=text)))


def _add_missing_zones(state: ControlState, *, document: EnvironmentDocument) -> None:
    for name in document.zones:
        state.tables.zones.setdefault(name, Zone(name=name))


__all__ = ["promote_document", "trial_document"]

"""Maps result codes to HTTP statuses."""

from __future__ import annotations

from http import HTTPStatus

from .code import ResultCode

_STATUS = {
    ResultCode.OK: HTTPStatus.OK,
    ResultCode.MALFORMED_REQUEST: HTTPStatus.BAD_REQUEST,
    ResultCode.BODY_TOO_LARGE: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    ResultCode.HEADER_TOO_LARGE: HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
    ResultCode.REQUEST_TOO_SLOW: HTTPStatus.REQUEST_TIMEOUT,
    ResultCode.UNKNOWN_RESOURCE: HTTPStatus.NOT_FOUND,
    ResultCode.KEY_MISSING: HTTPStatus.UNAUTHORIZED,
    ResultCode.KEY_INVALID: HTTPStatus.FORBIDDEN,
    ResultCode.NOT_OPERATOR: HTTPStatus.FORBIDDEN,
    ResultCode.NOT_PERMITTED: HTTPStatus.FORBIDDEN,
    ResultCode.PEER_REJECTED: HTTPStatus.FORBIDDEN,
    ResultCode.GENERATION_CONFLICT: HTTPStatus.CONFLICT,
    ResultCode.REQUEST_ID_REUSED: HTTPStatus.CONFLICT,
    ResultCode.NOT_TRIALED: HTTPStatus.CONFLICT,
    ResultCode.UNKNOWN_SERVICE: HTTPStatus.NOT_FOUND,
    ResultCode.DEADLINE_EXCEEDED: HTTPStatus.GATEWAY_TIMEOUT,
    ResultCode.ENDPOINT_FAILED: HTTPStatus.BAD_GATEWAY,
    ResultCode.ANSWER_INCOMPLETE: HTTPStatus.BAD_GATEWAY,
    ResultCode.CLAIM_PENDING: HTTPStatus.CONFLICT,
    ResultCode.CLAIM_UNKNOWN: HTTPStatus.CONFLICT,
    ResultCode.IDEMPOTENCY_KEY_MISSING: HTTPStatus.BAD_REQUEST,
    ResultCode.MEMBERSHIP_BUSY: HTTPStatus.CONFLICT,
    ResultCode.NOT_CAUGHT_UP: HTTPStatus.CONFLICT,
    ResultCode.DOCUMENT_INVALID: HTTPStatus.UNPROCESSABLE_ENTITY,
    ResultCode.SETTINGS_INVALID: HTTPStatus.UNPROCESSABLE_ENTITY,
    ResultCode.UNKNOWN_DOCUMENT: HTTPStatus.NOT_FOUND,
    ResultCode.UNKNOWN_JOB: HTTPStatus.NOT_FOUND,
    ResultCode.JOB_CANNOT_RUN: HTTPStatus.UNPROCESSABLE_ENTITY,
    ResultCode.TEAM_LIMIT: HTTPStatus.CONFLICT,
    ResultCode.JOB_ENDED: HTTPStatus.CONFLICT,
    ResultCode.STALE_EPOCH: HTTPStatus.CONFLICT,
    ResultCode.UNKNOWN_TEAM: HTTPStatus.NOT_FOUND,
    ResultCode.UNKNOWN_VM: HTTPStatus.NOT_FOUND,
    ResultCode.UNKNOWN_ZONE: HTTPStatus.NOT_FOUND,
    ResultCode.ZONE_WITHDRAWN: HTTPStatus.CONFLICT,
    ResultCode.BUDGET_EXHAUSTED: HTTPStatus.CONFLICT,
    ResultCode.VM_NOT_EMPTY: HTTPStatus.CONFLICT,
    ResultCode.VM_STATE_CONFLICT: HTTPStatus.CONFLICT,
    ResultCode.UNKNOWN_POOL: HTTPStatus.NOT_FOUND,
    ResultCode.UNKNOWN_WAVE: HTTPStatus.NOT_FOUND,
    ResultCode.PLATFORM_REFUSED: HTTPStatus.BAD_GATEWAY,
    ResultCode.PLATFORM_UNREACHABLE: HTTPStatus.BAD_GATEWAY,
    ResultCode.PLATFORM_UNCERTAIN: HTTPStatus.GATEWAY_TIMEOUT,
    ResultCode.BUDGET_BROKEN: HTTPStatus.CONFLICT,
    ResultCode.WAVE_CONFLICT: HTTPStatus.CONFLICT,
    ResultCode.INTERNAL: HTTPStatus.INTERNAL_SERVER_ERROR,
}


def http_status(code: ResultCode) -> HTTPStatus:
    """Returns the HTTP status that a result code is answered with."""
    return _STATUS.get(code, HTTPStatus.SERVICE_UNAVAILABLE)


__all__ = ["http_status"]

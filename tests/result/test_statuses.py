"""HTTP status, body and headers of failures."""

from __future__ import annotations

import json

import pytest

from hyssopway.http import failure_response
from hyssopway.result import Failure, ResultCode, WorkState


@pytest.mark.parametrize("code", [code for code in ResultCode if code is not ResultCode.OK])
def test_every_failure_is_answered_with_an_error_status_and_its_code(code):
    """Guards against a failure that callers treat as success."""
    failure = Failure(code=code, message="reason", work=WorkState.MAY_HAVE_RUN)
    answer = failure_response(failure)
    body = json.loads(answer.body)
    assert 400 <= answer.status <= 599
    assert body == {
        "code": int(code),
        "name": code.name,
        "message": "reason",
        "work": "may_have_run",
        "retry_after_s": None,
    }


@pytest.mark.parametrize(("wait_s", "header"), [(0.0, "1"), (0.2, "1"), (1.0, "1"), (1.2, "2"), (60, "60")])
def test_retry_after_is_rounded_up_to_whole_seconds(wait_s, header):
    """Guards against callers that retry too early."""
    failure = Failure(code=ResultCode.QUEUE_FULL, message="full", retry_after_s=wait_s)
    assert failure_response(failure).headers["Retry-After"] == header

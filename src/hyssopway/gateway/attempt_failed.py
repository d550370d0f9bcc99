"""Failure of one attempt of a request."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hyssopway.result import Failure


class AttemptFailedError(Exception):
    """An attempt at one endpoint ended without a completely relayed response.

    Attributes:
        failure: Failure to report to the caller if this is the last attempt.
        retry: Whether another endpoint may succeed.
        endpoint_failed: Whether the failure counts against the endpoint's health.
    """

    def __init__(self, failure: Failure, *, retry: bool = True, endpoint_failed: bool = True) -> None:
        super().__init__(failure.message)
        self.failure = failure
        self.retry = retry
        self.endpoint_failed = endpoint_failed


__all__ = ["AttemptFailedError"]

"""A try that gave no answer which may be passed on."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hyssopway.result import Failure


class TryFailedError(Exception):
    """One try at one endpoint failed before the caller got the first byte.

    Attributes:
        failure: Answer to the caller if this is the last try.
        retry: Whether another endpoint may do better.
        endpoint_failed: Whether the endpoint is to blame.
    """

    def __init__(self, failure: Failure, *, retry: bool = True, endpoint_failed: bool = True) -> None:
        super().__init__(failure.message)
        self.failure = failure
        self.retry = retry
        self.endpoint_failed = endpoint_failed


__all__ = ["TryFailedError"]

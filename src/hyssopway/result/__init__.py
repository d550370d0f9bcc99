"""Numbered result codes, the error value of ``expression`` results and the outcome of a proposed command."""

from __future__ import annotations

from .code import ResultCode
from .failure import Failure
from .http_status import http_status
from .outcome import Outcome
from .unsupported_version import UnsupportedVersionError
from .work_state import WorkState

__all__ = ["Failure", "Outcome", "ResultCode", "UnsupportedVersionError", "WorkState", "http_status"]

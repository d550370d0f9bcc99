"""Numbered result codes and the error value of ``expression`` results."""

from __future__ import annotations

from .code import ResultCode
from .failure import Failure
from .http_status import http_status
from .work_state import WorkState

__all__ = ["Failure", "ResultCode", "WorkState", "http_status"]

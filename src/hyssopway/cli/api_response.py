"""Response of an entry VM to an API request."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from .exit_status import ExitStatus

# Result codes that depend on the entry VM, so that another one may succeed: 203 KEY_UNCONFIRMED, 410 SHUTTING_DOWN,
# 413 TOO_MANY_CONNECTIONS, 501 NOT_LEADER, 502 NO_QUORUM, 503 OUTCOME_UNKNOWN, 508 PEER_UNREACHABLE.
_RETRY_AT_NEXT_ENTRY = frozenset({203, 410, 413, 501, 502, 503, 508})
_EXIT_STATUS_BY_CODE_CLASS = {2: ExitStatus.NOT_PERMITTED, 3: ExitStatus.CONFLICT}


@dataclass(frozen=True, slots=True, kw_only=True)
class ApiResponse:
    """Holds the HTTP status and the decoded body of a response.

    Attributes:
        status: HTTP status.
        data: Decoded JSON, or the body as text if it is not JSON.
    """

    status: int
    data: Any

    @property
    def succeeded(self) -> bool:
        """Whether the request succeeded (HTTP status 2xx)."""
        return 200 <= self.status < 300

    @property
    def code(self) -> int:
        """Result code of a failure; 0 if the body has none."""
        return int(self.data.get("code", 0)) if isinstance(self.data, dict) else 0

    @property
    def should_try_next_entry(self) -> bool:
        """Whether the request should be repeated on the next entry VM."""
        return self.code in _RETRY_AT_NEXT_ENTRY

    @property
    def may_have_run(self) -> bool:
        """Whether the request may have taken effect despite the failure."""
        return isinstance(self.data, dict) and self.data.get("work") == "may_have_run"

    @property
    def exit_status(self) -> ExitStatus:
        """Exit status of the command if this failure is final."""
        if self.may_have_run:
            return ExitStatus.MAY_HAVE_RUN
        return _EXIT_STATUS_BY_CODE_CLASS.get(self.code // 100, ExitStatus.REFUSED)

    @property
    def message(self) -> str:
        """Error message with the result code and name that the server returned."""
        if not isinstance(self.data, dict) or "message" not in self.data:
            return f"HTTP status {self.status}: {str(self.data)[:200]}"
        work = str(self.data.get("work", "")).replace("_", " ")
        return f"{self.code} {self.data.get('name', '')}: {self.data['message']} ({work})"


__all__ = ["ApiResponse"]

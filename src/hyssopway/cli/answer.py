"""Answer of an entry VM."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from .exit_status import ExitStatus

# Another entry VM may still answer: 203 KEY_UNCONFIRMED, 410 SHUTTING_DOWN, 413 TOO_MANY_CONNECTIONS, 501 NOT_LEADER, 502 NO_QUORUM,
# 503 OUTCOME_UNKNOWN, 508 PEER_UNREACHABLE.
_WORTH_ANOTHER_ENTRY = frozenset({203, 410, 413, 501, 502, 503, 508})
_HUNDREDS = {2: ExitStatus.NOT_PERMITTED, 3: ExitStatus.CONFLICT}


@dataclass(frozen=True, slots=True, kw_only=True)
class Answer:
    """HTTP status and decoded body.

    Attributes:
        status: HTTP status.
        data: Decoded JSON, or text when the body is not JSON.
    """

    status: int
    data: Any

    @property
    def succeeded(self) -> bool:
        """Whether the request was carried out."""
        return 200 <= self.status < 300

    @property
    def code(self) -> int:
        """Result code of a failure; 0 when there is none."""
        return int(self.data.get("code", 0)) if isinstance(self.data, dict) else 0

    @property
    def worth_another_entry(self) -> bool:
        """Whether another entry VM may give a better answer."""
        return self.code in _WORTH_ANOTHER_ENTRY

    @property
    def may_have_run(self) -> bool:
        """Whether the request may have taken effect despite the failure."""
        return isinstance(self.data, dict) and self.data.get("work") == "may_have_run"

    @property
    def exit_status(self) -> ExitStatus:
        """Exit status that a failure leads to."""
        if self.may_have_run:
            return ExitStatus.MAY_HAVE_RUN
        return _HUNDREDS.get(self.code // 100, ExitStatus.REFUSED)

    @property
    def message(self) -> str:
        """Message of a failure, as the server gave it."""
        if not isinstance(self.data, dict) or "message" not in self.data:
            return f"HTTP status {self.status}: {str(self.data)[:200]}"
        work = str(self.data.get("work", "")).replace("_", " ")
        return f"{self.code} {self.data.get('name', '')}: {self.data['message']} ({work})"


__all__ = ["Answer"]

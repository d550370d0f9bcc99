"""Records an operator's request to change the members of the control group."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestMemberChange:
    """Stores which member a change applies to, so that a retry never applies to its replacement.

    The membership itself is changed by configuration entries of the log, which are not commands.

    Attributes:
        request_id: ID of the request; a retry has the same one.
        operator: Operator who sent the request.
        action: One of add, promote, remove.
        member: Member as named by the operator.
        member_id: ID of the member that had this name when the change was requested.
        done: Whether the change is complete.
    """

    request_id: str
    operator: str
    action: str
    member: str
    member_id: str
    done: bool = False
    kind: Literal["request_member_change"] = "request_member_change"


__all__ = ["RequestMemberChange"]

"""Records that operators change a control member."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestMemberChange:
    """Keeps which member a change means, so that a resend never means its replacement.

    The members themselves are changed by entries of the log that are no commands.

    Attributes:
        request_id: Identity of the request over resends.
        operator: Who asked.
        action: One of add, promote, remove.
        member: Member as the operator named it.
        member_id: Member that the name meant when the change was asked for.
        done: Whether the change is made.
    """

    request_id: str
    operator: str
    action: str
    member: str
    member_id: str
    done: bool = False
    kind: Literal["request_member_change"] = "request_member_change"


__all__ = ["RequestMemberChange"]

"""Answers requests on the leader."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from hyssopway.dispatch import LeaderController
    from hyssopway.relay import RelayedReply, RelayedRequest


class RequestService(Protocol):
    """What the leader does with a request, in the protocol of the deployment."""

    async def answer(self, *, request: RelayedRequest, controller: LeaderController) -> RelayedReply:
        """Answers a request.

        Raises:
            LeadershipLostError: The outcome is unknown; the request may be sent again to the next leader.
        """
        ...


__all__ = ["RequestService"]

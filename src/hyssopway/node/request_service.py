"""Interface of the service that handles requests on the leader."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from hyssopway.dispatch import LeaderController
    from hyssopway.relay import RelayedReply, RelayedRequest


class RequestService(Protocol):
    """Handles requests on the leader in the protocol of the deployment."""

    async def answer(self, *, request: RelayedRequest, controller: LeaderController) -> RelayedReply:
        """Handles a request.

        Raises:
            LeadershipLostError: The outcome is unknown; the request may be retried on the next leader.
        """
        ...


__all__ = ["RequestService"]

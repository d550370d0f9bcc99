"""Components of a daemon that maintain the fleet."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hyssopway.fleet import FleetController, Rebooter, VmRequestCounter
from hyssopway.platform import PlatformClient

if TYPE_CHECKING:
    from .control_group import ControlGroup
    from .request_components import RequestComponents


class FleetComponents:
    """Counter of requests in progress on VMs, fleet controller and platform client.

    Attributes:
        group: Replicated state and clients of the other daemons.
        requests: Components that forward requests to endpoints.
        platform: Client of the platform; None before `open` and without a platform URL.
        vm_requests: Counts the requests in progress on a VM.
        controller: Controls drains, moves, waves and zones; active only on the leader.
    """

    __slots__ = ("controller", "group", "platform", "requests", "vm_requests")

    def __init__(self, *, group: ControlGroup, requests: RequestComponents) -> None:
        self.group = group
        self.requests = requests
        self.platform: PlatformClient | None = None
        self.vm_requests = VmRequestCounter(
            ledger=requests.ledger,
            router=requests.router,
            peers=group.peers,
            replica=group.replica,
        )
        self.controller = FleetController(
            replica=group.replica,
            submitter=group.submitter,
            leads=group.leads,
            clock=group.clock,
            now_ms=group.now_ms,
        )

    def open(self) -> None:
        """Opens the client of the platform if the settings name its URL."""
        url = self.group.settings.platform_url
        if url is not None:
            self.platform = PlatformClient.open(url=url)
            self.controller.rebooter = Rebooter(platform=self.platform)

    async def close(self) -> None:
        """Closes the client of the platform."""
        if self.platform is not None:
            await self.platform.close()


__all__ = ["FleetComponents"]

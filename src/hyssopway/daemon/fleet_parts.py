"""Parts of a daemon that maintain the fleet."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hyssopway.fleet import FleetController, Rebooter, VmRequestCounter
from hyssopway.platform import PlatformClient

if TYPE_CHECKING:
    from .control_group import ControlGroup
    from .request_path import RequestPath


class FleetParts:
    """Requests in progress on VMs and the leader's control of the fleet.

    Attributes:
        group: Agreed state and ways to the other daemons.
        requests: Request path.
        platform: Client of the platform while open; None without one.
        vm_requests: Counts the requests in progress on a VM.
        controller: Drains, moves, waves and zones; acts on the leader.
    """

    __slots__ = ("controller", "group", "platform", "requests", "vm_requests")

    def __init__(self, *, group: ControlGroup, requests: RequestPath) -> None:
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
        """Opens the client of the platform."""
        url = self.group.settings.platform_url
        if url is not None:
            self.platform = PlatformClient.open(url=url)
            self.controller.rebooter = Rebooter(platform=self.platform)

    async def close(self) -> None:
        """Closes the client of the platform."""
        if self.platform is not None:
            await self.platform.close()


__all__ = ["FleetParts"]

"""Stand-ins for all endpoints and workers of an example deployment."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from .endpoint import EndpointStandIn
from .fleet import load_example_document, load_sizes, place_vms
from .worker import WorkerStandIn

if TYPE_CHECKING:
    from .processes import Deployment


@dataclass(slots=True, kw_only=True)
class FleetStandIn:
    """All endpoints and workers of a deployment, run in one event loop.

    Attributes:
        endpoints: Endpoints by name.
        workers: Workers by VM.
    """

    endpoints: dict[str, EndpointStandIn] = field(default_factory=dict)
    workers: dict[str, WorkerStandIn] = field(default_factory=dict)

    @staticmethod
    def prepare(deployment: Deployment, *, time_scale: float = 0.01) -> FleetStandIn:
        """Creates one worker for each VM and one endpoint for each instance of a service."""
        fleet_stand_in = FleetStandIn()
        document = load_example_document(deployment.name)
        sizes = load_sizes(deployment.name)
        for location in place_vms(document=document, sizes=sizes):
            entries = deployment.entries(location.zone)
            fleet_stand_in.workers[location.name] = WorkerStandIn(
                vm=location.name,
                zone=location.zone,
                rack=location.rack,
                pool=location.pool,
                capacity=sizes.worker,
                entries=entries,
                fleet_token=deployment.fleet_token,
                time_scale=time_scale,
            )
            for service in document.services:
                if service.pool == location.pool:
                    name = f"{service.name}@{location.name}"
                    fleet_stand_in.endpoints[name] = EndpointStandIn(
                        name=name,
                        service=service.name,
                        entries=entries,
                        fleet_token=deployment.fleet_token,
                        vm=location.name,
                        slots=service.slots,
                        connections=service.connections,
                    )
                    fleet_stand_in.workers[location.name].endpoints.append(fleet_stand_in.endpoints[name])
        return fleet_stand_in

    async def start(self) -> None:
        """Starts all workers and endpoints."""
        for worker in self.workers.values():
            worker.start()
        for endpoint in self.endpoints.values():
            await endpoint.start()

    async def stop(self) -> None:
        """Stops all workers and endpoints without a graceful leave."""
        for worker in self.workers.values():
            worker.stop()
        for endpoint in self.endpoints.values():
            await endpoint.stop(leave=False)


__all__ = ["FleetStandIn"]

"""All endpoints and workers of an example deployment."""

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
    """Endpoints and workers in one event loop.

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
        for place in place_vms(document=document, sizes=sizes):
            entries = deployment.entries(place.zone)
            fleet_stand_in.workers[place.name] = WorkerStandIn(
                vm=place.name,
                zone=place.zone,
                rack=place.rack,
                pool=place.pool,
                capacity=sizes.worker,
                entries=entries,
                fleet_token=deployment.fleet_token,
                time_scale=time_scale,
            )
            for service in document.services:
                if service.pool == place.pool:
                    name = f"{service.name}@{place.name}"
                    fleet_stand_in.endpoints[name] = EndpointStandIn(
                        name=name,
                        service=service.name,
                        entries=entries,
                        fleet_token=deployment.fleet_token,
                        vm=place.name,
                        slots=service.slots,
                        connections=service.connections,
                    )
                    fleet_stand_in.workers[place.name].endpoints.append(fleet_stand_in.endpoints[name])
        return fleet_stand_in

    async def start(self) -> None:
        """Starts all of them."""
        for worker in self.workers.values():
            worker.start()
        for endpoint in self.endpoints.values():
            await endpoint.start()

    async def stop(self) -> None:
        """Stops all of them at once."""
        for worker in self.workers.values():
            worker.stop()
        for endpoint in self.endpoints.values():
            await endpoint.stop(leave=False)


__all__ = ["FleetStandIn"]

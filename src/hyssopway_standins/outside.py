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
class Outside:
    """Endpoints and workers in one event loop.

    Attributes:
        endpoints: Endpoints by name.
        workers: Workers by VM.
    """

    endpoints: dict[str, EndpointStandIn] = field(default_factory=dict)
    workers: dict[str, WorkerStandIn] = field(default_factory=dict)

    @staticmethod
    def prepare(deployment: Deployment, *, time_scale: float = 0.01) -> Outside:
        """Creates one worker for each VM and one endpoint for each instance of a service."""
        outside = Outside()
        document = load_example_document(deployment.name)
        sizes = load_sizes(deployment.name)
        for place in place_vms(document=document, sizes=sizes):
            entries = deployment.entries(place.zone)
            outside.workers[place.name] = WorkerStandIn(
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
                    outside.endpoints[name] = EndpointStandIn(
                        name=name,
                        service=service.name,
                        entries=entries,
                        fleet_token=deployment.fleet_token,
                        vm=place.name,
                        slots=service.slots,
                        connections=service.connections,
                    )
                    outside.workers[place.name].endpoints.append(outside.endpoints[name])
        return outside

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


__all__ = ["Outside"]

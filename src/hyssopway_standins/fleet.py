"""Sizes of an example deployment and the resulting VMs."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

import yaml
from expression import Result
from pydantic import TypeAdapter

from hyssopway.document import Resources, parse_document

if TYPE_CHECKING:
    from hyssopway.document import EnvironmentDocument

EXAMPLES = Path(__file__).parents[2] / "examples"


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetSizes:
    """Numbers and resources of the VMs and endpoints of a deployment.

    Attributes:
        instances_per_service: Number of endpoints of each service.
        workers_per_pool: Number of VMs of each pool.
        workers_per_rack: Number of VMs of a pool in one rack.
        worker: Resources of each VM.
    """

    instances_per_service: int
    workers_per_pool: int
    workers_per_rack: int
    worker: Resources


@dataclass(frozen=True, slots=True, kw_only=True)
class VmLocation:
    """Name and location of a VM of an example deployment.

    Attributes:
        name: Name of the VM.
        zone: Availability zone.
        rack: Rack.
        pool: Pool that the VM starts in.
    """

    name: str
    zone: str
    rack: str
    pool: str


def load_sizes(deployment: str) -> FleetSizes:
    """Reads the sizes of an example deployment."""
    data = yaml.safe_load((EXAMPLES / deployment / "fleet.yaml").read_text())
    return TypeAdapter(FleetSizes).validate_python(data)


def load_example_document(deployment: str) -> EnvironmentDocument:
    """Reads the document of an example deployment.

    Raises:
        ValueError: The document is not valid.
    """
    path = EXAMPLES / deployment / "document.yaml"
    match parse_document(text=path.read_text(), file=str(path)):
        case Result(tag="ok", ok=document):
            return document
        case Result(error=problems):
            raise ValueError("; ".join(str(problem) for problem in problems))


def place_vms(*, document: EnvironmentDocument, sizes: FleetSizes) -> list[VmLocation]:
    """Returns the VMs of each pool, distributed over zones and racks."""
    places = []
    for pool in document.pools:
        for number in range(sizes.workers_per_pool):
            zone = document.zones[number % len(document.zones)]
            rack = f"{zone}-rack-{number // sizes.workers_per_rack + 1}"
            places.append(
                VmLocation(name=f"{pool.name}-vm-{number + 1}", zone=zone, rack=rack, pool=pool.name)
            )
    return places


__all__ = ["EXAMPLES", "FleetSizes", "VmLocation", "load_example_document", "load_sizes", "place_vms"]

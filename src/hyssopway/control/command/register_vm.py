"""Registers a VM with its home."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal

from hyssopway.document import Resources


@dataclass(frozen=True, slots=True, kw_only=True)
class RegisterVm:
    """Stores the VM of a worker and the entry daemon that holds its session.

    Attributes:
        vm: Name of the VM.
        zone: Availability zone.
        rack: Rack within the zone.
        pool: Pool of a VM that is not known yet; a known VM keeps its pool.
        capacity: Total capacity of the VM.
        home: Entry daemon that the worker reports to.
        boot_id: ID of the worker process; a new one after each restart.
    """

    vm: str
    zone: str
    rack: str
    pool: str
    capacity: Resources
    home: str
    boot_id: str
    kind: Literal["register_vm"] = "register_vm"


__all__ = ["RegisterVm"]

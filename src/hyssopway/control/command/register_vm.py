"""Registers a VM with its home entry."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal

from hyssopway.document import Resources


@dataclass(frozen=True, slots=True, kw_only=True)
class RegisterVm:
    """Records the VM of a worker and the entry daemon that holds its session.

    Attributes:
        vm: Name of the VM.
        zone: Availability zone.
        rack: Rack.
        pool: Pool for a VM that is not known yet; a known VM keeps its pool.
        capacity: What the VM has.
        home: Entry daemon that the worker syncs with.
        boot_id: Identity of the worker process, new after each restart.
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

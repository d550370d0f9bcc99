"""Fleet control on the leader: drains, moves, maintenance waves, zones and lending of spare VMs."""

from __future__ import annotations

from .controller import FleetController
from .rebooter import Rebooter
from .vm_request_counter import ENTRY_STOPPED_TOPIC, VM_REQUESTS_TOPIC, VmRequestCounter

__all__ = ["ENTRY_STOPPED_TOPIC", "VM_REQUESTS_TOPIC", "FleetController", "Rebooter", "VmRequestCounter"]

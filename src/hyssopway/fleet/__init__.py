"""Pools, permits, waves, zones and buffers."""

from __future__ import annotations

from .controller import FleetController
from .reboots import Reboots
from .vm_requests import VM_REQUESTS_TOPIC, VmRequests

__all__ = ["VM_REQUESTS_TOPIC", "FleetController", "Reboots", "VmRequests"]

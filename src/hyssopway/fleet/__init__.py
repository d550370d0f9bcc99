"""Pools, permits, waves, zones and buffers."""

from __future__ import annotations

from .controller import FleetController
from .liveness import Liveness
from .reboots import Reboots
from .sessions_exchange import SessionsExchange
from .vm_requests import VmRequests

__all__ = ["FleetController", "Liveness", "Reboots", "SessionsExchange", "VmRequests"]

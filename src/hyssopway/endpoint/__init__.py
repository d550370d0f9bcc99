"""Endpoints registered with this daemon, and their health."""

from __future__ import annotations

from .announcement import Announcement
from .endpoint import Endpoint
from .health import EndpointHealth
from .registry import ENDPOINT_LEASE_S, EndpointRegistry

__all__ = ["ENDPOINT_LEASE_S", "Announcement", "Endpoint", "EndpointHealth", "EndpointRegistry"]

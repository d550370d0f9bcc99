"""Client of the platform's HTTP API."""

from __future__ import annotations

from .action import PlatformAction
from .client import PlatformClient
from .vm import PlatformState, PlatformVm

__all__ = ["PlatformAction", "PlatformClient", "PlatformState", "PlatformVm"]

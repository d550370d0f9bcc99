"""What the platform can do with a VM."""

from __future__ import annotations

from enum import StrEnum


class PlatformAction(StrEnum):
    """Last segment of the path of an operation."""

    DRAIN = "drain"
    REBOOT = "reboot"
    RETURN = "return"


__all__ = ["PlatformAction"]

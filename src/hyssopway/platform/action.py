"""Operations of the platform on a VM."""

from __future__ import annotations

from enum import StrEnum


class PlatformAction(StrEnum):
    """Operation on a VM; the value is the last segment of its request path."""

    DRAIN = "drain"
    REBOOT = "reboot"
    RETURN = "return"


__all__ = ["PlatformAction"]

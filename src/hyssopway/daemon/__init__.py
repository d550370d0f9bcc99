"""One daemon process."""

from __future__ import annotations

from .daemon import Daemon

__all__ = ["Daemon"]

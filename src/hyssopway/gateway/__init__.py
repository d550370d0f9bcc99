"""HTTP interface for callers."""

from __future__ import annotations

from .gateway import Gateway

__all__ = ["Gateway"]

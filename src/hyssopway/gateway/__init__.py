"""HTTP gateway between callers and endpoints."""

from __future__ import annotations

from .gateway import Gateway

__all__ = ["Gateway"]

"""Latencies and counters."""

from __future__ import annotations

from .metrics import Metrics

__all__ = ["Metrics"]

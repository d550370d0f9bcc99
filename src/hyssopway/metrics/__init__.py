"""Counters and latency histograms of one process."""

from __future__ import annotations

from .exposition import format_metrics
from .metrics import Metrics

__all__ = ["Metrics", "format_metrics"]

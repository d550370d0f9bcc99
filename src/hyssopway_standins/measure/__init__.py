"""Measurements whose results the documentation cites; run by `make measure`."""

from __future__ import annotations

from .measurement import Measurement, Series

__all__ = ["Measurement", "Series"]

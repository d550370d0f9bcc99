"""Measurements behind the docs, `make measure`."""

from __future__ import annotations

from .measurement import Measurement, Series

__all__ = ["Measurement", "Series"]

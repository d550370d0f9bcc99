"""Applies commands to the agreed state."""

from __future__ import annotations

from .dispatch import apply_command

__all__ = ["apply_command"]

"""Applies commands to the replicated state."""

from __future__ import annotations

from .dispatch import apply_command

__all__ = ["apply_command"]

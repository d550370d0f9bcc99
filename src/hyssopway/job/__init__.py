"""Scheduling of jobs by the leader."""

from __future__ import annotations

from .scheduler import JobScheduler

__all__ = ["JobScheduler"]

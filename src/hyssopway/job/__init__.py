"""Scheduling of jobs by the leader."""

from __future__ import annotations

from .home_monitor import HomeMonitor
from .run_revoker import RunRevoker
from .scheduler import JobScheduler
from .usage_book import TaskUsage, UsageBook
from .waiting import explain_waiting

__all__ = ["HomeMonitor", "JobScheduler", "RunRevoker", "TaskUsage", "UsageBook", "explain_waiting"]

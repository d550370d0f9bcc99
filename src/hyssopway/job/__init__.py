"""Scheduling of jobs by the leader."""

from __future__ import annotations

from .home_monitor import HomeMonitor
from .scheduler import JobScheduler
from .unordered_runs import UnorderedRuns
from .usage_book import TaskUsage, UsageBook
from .waiting import explain_waiting

__all__ = ["HomeMonitor", "JobScheduler", "TaskUsage", "UnorderedRuns", "UsageBook", "explain_waiting"]

"""Job scheduling on the leader: placement, fair shares, reclaiming and quarantine."""

from __future__ import annotations

from .home_monitor import HomeMonitor
from .pending_reason import explain_pending
from .run_revoker import RunRevoker
from .scheduler import JobScheduler
from .usage_reports import TaskUsage, UsageReports

__all__ = ["HomeMonitor", "JobScheduler", "RunRevoker", "TaskUsage", "UsageReports", "explain_pending"]

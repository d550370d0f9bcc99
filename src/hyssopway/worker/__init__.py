"""Sessions between workers and their home entry: leases, orders and reports."""

from __future__ import annotations

from .lease_monitor import monitor_leases, report_expired_leases
from .messages import EndedRun, RunningTask, StartOrder, SyncReply, SyncRequest
from .sessions import WORKER_LEASE_S, WorkerSessions

__all__ = [
    "WORKER_LEASE_S",
    "EndedRun",
    "RunningTask",
    "StartOrder",
    "SyncReply",
    "SyncRequest",
    "WorkerSessions",
    "monitor_leases",
    "report_expired_leases",
]

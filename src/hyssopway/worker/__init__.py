"""Sessions of workers with their home entry."""

from __future__ import annotations

from .messages import EndedRun, RunningTask, StartOrder, SyncReply, SyncRequest
from .sessions import WORKER_LEASE_S, WorkerSessions
from .silence import report_silent, watch_silence

__all__ = [
    "WORKER_LEASE_S",
    "EndedRun",
    "RunningTask",
    "StartOrder",
    "SyncReply",
    "SyncRequest",
    "WorkerSessions",
    "report_silent",
    "watch_silence",
]

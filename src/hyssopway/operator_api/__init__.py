"""HTTP API for operators, teams, endpoints and workers."""

from __future__ import annotations

from .endpoint_routes import EndpointRoutes
from .fleet_routes import FleetRoutes
from .job_routes import JobRoutes
from .member_routes import MemberRoutes
from .operator_access import OperatorAccess
from .operator_routes import OperatorRoutes
from .wave_routes import WaveRoutes
from .worker_routes import WorkerRoutes

__all__ = [
    "EndpointRoutes",
    "FleetRoutes",
    "JobRoutes",
    "MemberRoutes",
    "OperatorAccess",
    "OperatorRoutes",
    "WaveRoutes",
    "WorkerRoutes",
]

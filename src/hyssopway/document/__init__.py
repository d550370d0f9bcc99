"""Environment documents, which operators write, run as a trial and promote to production."""

from __future__ import annotations

from .budget import Budget
from .buffer_policy import BufferPolicy
from .environment_document import EnvironmentDocument
from .job_policy import JobPolicy
from .maintenance_policy import MaintenancePolicy
from .pool import Pool
from .problem import Problem
from .resources import Resources
from .service import QueueAccess, Service
from .team import Team
from .validation import check_document, digest_document, parse_document

__all__ = [
    "Budget",
    "BufferPolicy",
    "EnvironmentDocument",
    "JobPolicy",
    "MaintenancePolicy",
    "Pool",
    "Problem",
    "QueueAccess",
    "Resources",
    "Service",
    "Team",
    "check_document",
    "digest_document",
    "parse_document",
]

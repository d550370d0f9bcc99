"""The document that configures an environment."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Annotated

from pydantic import Field

from .buffer_policy import BufferPolicy
from .job_policy import JobPolicy
from .maintenance_policy import MaintenancePolicy
from .pool import Pool
from .service import Service
from .team import Team


@dataclass(frozen=True, slots=True, kw_only=True)
class EnvironmentDocument:
    """Zones, pools, services, teams and policies of one environment.

    Attributes:
        name: Name of the deployment.
        zones: Availability zones.
        pools: Pools of VMs.
        services: Services that callers reach through the entry VMs.
        teams: Teams that may submit jobs and keyed requests.
        jobs: Policy for jobs.
        maintenance: Policy for maintenance waves.
        buffer: Failures that the spare capacity must cover.
    """

    name: str
    zones: Annotated[list[str], Field(min_length=1)]
    pools: Annotated[list[Pool], Field(min_length=1)]
    services: list[Service] = field(default_factory=list)
    teams: list[Team] = field(default_factory=list)
    jobs: JobPolicy = field(default_factory=JobPolicy)
    maintenance: MaintenancePolicy = field(default_factory=MaintenancePolicy)
    buffer: BufferPolicy = field(default_factory=BufferPolicy)

    def service(self, *, name: str) -> Service | None:
        """Returns a service by name, or None."""
        return next((service for service in self.services if service.name == name), None)

    def team(self, *, name: str) -> Team | None:
        """Returns a team by name, or None."""
        return next((team for team in self.teams if team.name == name), None)

    def pool(self, *, name: str) -> Pool | None:
        """Returns a pool by name, or None."""
        return next((pool for pool in self.pools if pool.name == name), None)


__all__ = ["EnvironmentDocument"]

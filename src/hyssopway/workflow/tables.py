"""The replicated tables of workflows, VMs and configuration."""

from __future__ import annotations

from dataclasses import dataclass, field

from .active_run import ActiveRun
from .fleet_document import FleetDocument
from .queue import Queue
from .queue_id import QueueId
from .team_policy import TeamPolicy
from .vm_record import VmRecord
from .wave_record import WaveRecord
from .workflow import Workflow


@dataclass(slots=True, kw_only=True)
class Tables:
    """All data that is replicated by the log and kept in snapshots.

    Attributes:
        document: Active configuration; None before the first.
        workflows: Workflows by ID.
        vms: VMs by ID.
        runs: Runs in progress by task name; more than one only for steps that allow duplicates.
        evacuated: Zones that are out of service.
        waves: Maintenance waves by number.
        machine_orders: Wall-clock time of the last request to the platform about each machine.
        queue_pools: Last known pool of each queue by name; empty from `QUEUE_IDS_VERSION` on.
        queue_attempts: Last known number of attempts of each queue by name; likewise.
        former_queues: Queues that were removed from the configuration, as they were last, in order of removal; their
            workflows go on. Empty before `QUEUE_IDS_VERSION`.
        team_ids: ID of each team of the configuration by name; empty before `QUEUE_IDS_VERSION`, when a name is the ID.
        former_teams: Teams that were removed from the configuration, as they were last, by ID.
        version: Version of the state, which selects the rules by which commands are applied; 0 in snapshots of releases
            that have no versions.
    """

    document: FleetDocument | None = None
    workflows: dict[str, Workflow] = field(default_factory=dict)
    vms: dict[str, VmRecord] = field(default_factory=dict)
    runs: dict[str, list[ActiveRun]] = field(default_factory=dict)
    evacuated: set[str] = field(default_factory=set)
    waves: dict[int, WaveRecord] = field(default_factory=dict)
    machine_orders: dict[str, int] = field(default_factory=dict)
    queue_pools: dict[str, str] = field(default_factory=dict)
    queue_attempts: dict[str, int] = field(default_factory=dict)
    former_queues: dict[QueueId, Queue] = field(default_factory=dict)
    team_ids: dict[str, str] = field(default_factory=dict)
    former_teams: dict[str, TeamPolicy] = field(default_factory=dict)
    version: int = 0

    def accepts_starts(self, vm: VmRecord) -> bool:
        """Returns whether a VM may get new runs: it is not draining, and its zone is in service."""
        return not vm.draining and vm.zone not in self.evacuated


__all__ = ["Tables"]

"""Size that the system must reach with the present design."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class Target:
    """Size of the whole system and its bounds.

    Attributes:
        workers: Workers in all regions.
        accelerators: Accelerators in all regions.
        pools: Pools.
        maintenance_period_s: Time in which every VM is maintained once.
        teams: Teams with quotas.
        urgent_start_s: Time until urgent work starts.
        regions: Regions, each with a group of its own.
        zones: Availability zones.
        changes_a_day: Changes of configuration.
        in_force_s: Time until a change is in force everywhere.
        node_core: Part of a core that control may use on a node.
        node_memory_mb: Memory that control may use on a node.
        node_bytes_a_second: Bytes that control may move for a node.
        control_vms: VMs set aside for control.
        failures_a_day: VMs that fail.
        restarts_a_day: VMs that are restarted or replaced.
        run_s: Mean run time of a task; an assumption, the target names none.
        skew: Size of the largest region against the mean; an assumption.
    """

    workers: int = 21_000
    accelerators: int = 47_000
    pools: int = 21
    maintenance_period_s: float = 7 * 7 * 86_400.0
    teams: int = 110
    urgent_start_s: float = 3.3
    regions: int = 8
    zones: int = 22
    changes_a_day: int = 22_000
    activation_s: float = 16.0
    node_core: float = 0.024
    node_memory_mb: float = 128.0
    node_bytes_a_second: float = 5_000.0
    control_vms: int = 35
    failures_a_day: int = 180
    restarts_a_day: int = 1_300
    run_s: float = 600.0
    skew: float = 1.5

    @property
    def region_workers(self) -> float:
        """Workers of the largest region."""
        return self.workers / self.regions * self.skew

    @property
    def region_vms(self) -> float:
        """Control VMs of a region."""
        return self.control_vms / self.regions

    @property
    def changes_a_second(self) -> float:
        """Changes of configuration a second; they reach every region."""
        return self.changes_a_day / 86_400

    @property
    def region_log_entries_a_second(self) -> float:
        """Entries of the log of the largest region: acceptance, start and end of each task, and the rest."""
        tasks = self.region_workers / self.run_s
        daily = (self.failures_a_day + self.restarts_a_day) * self.skew / self.regions / 86_400
        return 3 * tasks + 4 * daily + self.changes_a_second


__all__ = ["Target"]

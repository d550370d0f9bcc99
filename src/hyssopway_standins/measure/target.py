"""Scale that the system must reach with the current design."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class Target:
    """Target scale of the whole system and its limits.

    Attributes:
        workers: Number of workers in all regions.
        accelerators: Number of accelerators in all regions.
        pools: Number of pools.
        maintenance_period_s: Period in which every VM is maintained once.
        teams: Number of teams with quotas.
        urgent_start_s: Maximum time until urgent work starts.
        regions: Number of regions, each with its own consensus group.
        zones: Number of availability zones.
        changes_a_day: Configuration changes a day.
        activation_s: Maximum time until a change is active everywhere.
        node_core: Fraction of a core that the control plane may use on a node.
        node_memory_mb: Memory that the control plane may use on a node.
        node_bytes_a_second: Network traffic that the control plane may cause for a node.
        control_vms: Number of VMs reserved for the control plane.
        failures_a_day: VMs that fail in a day.
        restarts_a_day: VMs that are restarted or replaced in a day.
        run_s: Mean run time of a task; an assumption, because the target does not define it.
        skew: Ratio of the largest region to the mean region; an assumption.
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
        """Number of workers in the largest region."""
        return self.workers / self.regions * self.skew

    @property
    def region_vms(self) -> float:
        """Mean number of control VMs of a region."""
        return self.control_vms / self.regions

    @property
    def changes_a_second(self) -> float:
        """Configuration changes a second; each one reaches every region."""
        return self.changes_a_day / 86_400

    @property
    def region_log_entries_a_second(self) -> float:
        """Log entries a second of the largest region.

        Each task adds three: acceptance, start and end. Each VM that fails or restarts adds four, and each
        configuration change one.
        """
        tasks = self.region_workers / self.run_s
        daily = (self.failures_a_day + self.restarts_a_day) * self.skew / self.regions / 86_400
        return 3 * tasks + 4 * daily + self.changes_a_second


__all__ = ["Target"]

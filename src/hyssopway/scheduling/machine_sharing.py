"""Division of scarce machines between pools.

Addresses loads in which several pools need more machines at once than are left, so that a division by absolute deficit
gives all of them to the largest pool while the tasks of the others wait longest.
"""

from __future__ import annotations

from dataclasses import dataclass, replace


@dataclass(frozen=True, slots=True, kw_only=True)
class MachineDeficit:
    """Machines that a pool has and requires.

    Attributes:
        pool: Name of the pool.
        vms: Number of its VMs, with those that are arriving.
        required: Number of VMs that it requires, with its reserve; at least 1.
        demanded: Number of VMs that its tasks fill, without the reserve and not rounded; above 0.
    """

    pool: str
    vms: int
    required: int
    demanded: float

    def after(self, machines: int) -> MachineDeficit:
        """Returns the deficit after the pool has got some machines."""
        return replace(self, vms=self.vms + machines)

    @property
    def missing(self) -> int:
        """Number of VMs that the pool lacks."""
        return max(0, self.required - self.vms)

    @property
    def missing_share(self) -> tuple[float, float]:
        """Shares of the demand and, for pools that meet it, of the requirement that the pool lacks.

        The reserve comes second: it is a larger share of a small pool, which would otherwise get machines for tasks that
        may come while a large pool lacks them for tasks that wait.
        """
        return max(0.0, 1 - self.vms / self.demanded), self.missing / self.required


def divide_machines(deficits: list[MachineDeficit], *, machines: int) -> list[str]:
    """Divides machines by max-min over what each pool lacks relative to what it requires.

    The work that arrives for a pool waits in proportion to the share of its demand that is missing. Each machine goes to
    the pool that lacks the largest share then. This minimises the largest share that is left, since a machine never raises
    the share of its pool.

    Args:
        deficits: Deficit of each pool; of pools that lack equal shares, the first is served first.
        machines: Number of machines to divide.

    Returns:
        Name of the pool that each machine goes to, in the order of their need; fewer if the pools lack fewer.
    """
    left = [deficit for deficit in deficits if deficit.missing]
    targets: list[str] = []
    while left and len(targets) < machines:
        neediest = max(range(len(left)), key=lambda number: left[number].missing_share)
        targets.append(left[neediest].pool)
        left[neediest] = left[neediest].after(1)
        if not left[neediest].missing:
            del left[neediest]
    return targets


__all__ = ["MachineDeficit", "divide_machines"]

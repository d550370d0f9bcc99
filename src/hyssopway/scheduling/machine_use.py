"""Machine time in pools beside the work that is done with it.

Addresses loads in which the demand of each pool changes between several times its mean and nearly nothing, so that most
of the cost is machines that stay in a pool longer than its work needs them.
"""

from __future__ import annotations


class MachineUse:
    """Sums up machine time and work since the start of a term.

    Attributes:
        machine_s: Machine-seconds in pools other than the standby pool.
        core_s: Core-seconds of tasks in progress, without best-effort tasks.
        updated_at: Local time of the last measurement; None before the first.
        machines: Number of machines in pools at the last measurement.
        cores: Cores in use at the last measurement.
    """

    __slots__ = ("core_s", "cores", "machine_s", "machines", "updated_at")

    def __init__(self) -> None:
        self.machine_s = 0.0
        self.core_s = 0.0
        self.updated_at: float | None = None
        self.machines = 0
        self.cores = 0.0

    def add(self, *, machines: int, cores: float, now: float) -> None:
        """Adds a measurement; the time since the last one counts with the mean of both.

        Args:
            machines: Number of machines in pools other than the standby pool.
            cores: Cores in use by tasks.
            now: Local time in seconds.
        """
        if self.updated_at is not None:
            elapsed_s = now - self.updated_at
            self.machine_s += elapsed_s * (machines + self.machines) / 2
            self.core_s += elapsed_s * (cores + self.cores) / 2
        self.updated_at = now
        self.machines = machines
        self.cores = cores


__all__ = ["MachineUse"]

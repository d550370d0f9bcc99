"""Request bodies of operators about VMs."""

from __future__ import annotations

from dataclasses import dataclass, field

from hyssopway.control.record import DrainDecision


@dataclass(frozen=True, slots=True, kw_only=True)
class VmBody:
    """Drains a VM or returns it to service.

    Attributes:
        expected_epoch: Epoch of the VM that the operator last read; the request fails if it has changed.
    """

    expected_epoch: int


@dataclass(frozen=True, slots=True, kw_only=True)
class MoveBody:
    """Moves a VM to another pool.

    Attributes:
        expected_epoch: Epoch of the VM that the operator last read; the request fails if it has changed.
        target: New pool.
    """

    expected_epoch: int
    target: str


@dataclass(frozen=True, slots=True, kw_only=True)
class DecisionBody:
    """Decides what happens to the work on a VM whose drain is overdue.

    Attributes:
        expected_epoch: Epoch of the VM that the operator last read; the request fails if it has changed.
        decision: What to do with the remaining work.
    """

    expected_epoch: int
    decision: DrainDecision


@dataclass(frozen=True, slots=True, kw_only=True)
class WaveBody:
    """Starts a maintenance wave.

    Attributes:
        pools: Names of the pools; empty for all pools.
    """

    pools: list[str] = field(default_factory=list)


@dataclass(frozen=True, slots=True, kw_only=True)
class WaveActionBody:
    """Pauses, resumes or aborts a maintenance wave.

    Attributes:
        expected_epoch: Epoch of the wave that the operator last read; the request fails if it has changed.
    """

    expected_epoch: int


__all__ = ["DecisionBody", "MoveBody", "VmBody", "WaveActionBody", "WaveBody"]

"""Records the progress of a VM in a maintenance wave."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal

from hyssopway.control.record.wave_vm import WaveVmStatus


@dataclass(frozen=True, slots=True, kw_only=True)
class AdvanceWave:
    """Takes one VM to its next step, together with its state and permit.

    Attributes:
        wave: Identity of the wave.
        vm: Name of the VM.
        status: Next step.
        expected_epoch: Epoch of the VM that the proposer saw.
        reason: Why, for operators.
        replacement: VM that takes the place of a lost one.
    """

    wave: str
    vm: str
    status: WaveVmStatus
    expected_epoch: int
    reason: str = ""
    replacement: str = ""
    kind: Literal["advance_wave"] = "advance_wave"


__all__ = ["AdvanceWave"]

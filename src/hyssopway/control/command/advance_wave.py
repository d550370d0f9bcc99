"""Records the progress of a VM in a maintenance wave."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal

from hyssopway.control.record.wave_vm import WaveVmStatus


@dataclass(frozen=True, slots=True, kw_only=True)
class AdvanceWave:
    """Moves one VM of a wave to its next step, and changes its state and permit accordingly.

    Attributes:
        wave: ID of the wave.
        vm: Name of the VM.
        status: Status of the VM in the wave after the step.
        expected_epoch: Epoch of the VM that the proposer saw.
        reason: Reason, shown to operators.
        replacement: Spare VM that replaces a lost one.
    """

    wave: str
    vm: str
    status: WaveVmStatus
    expected_epoch: int
    reason: str = ""
    replacement: str = ""
    kind: Literal["advance_wave"] = "advance_wave"


__all__ = ["AdvanceWave"]

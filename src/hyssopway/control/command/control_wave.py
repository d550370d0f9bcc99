"""Pauses, resumes or aborts a maintenance wave."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Literal


class WaveAction(StrEnum):
    """Action of an operator on a wave."""

    PAUSE = "pause"
    RESUME = "resume"
    ABORT = "abort"


@dataclass(frozen=True, slots=True, kw_only=True)
class ControlWave:
    """Changes the status of a wave.

    Attributes:
        request_id: ID of the request; a retry has the same one.
        operator: Operator who sent the request.
        wave: ID of the wave.
        action: Action on the wave.
        expected_epoch: Epoch of the wave that the operator read.
        reason: Reason, shown to operators.
    """

    request_id: str
    operator: str
    wave: str
    action: WaveAction
    expected_epoch: int
    reason: str = ""
    kind: Literal["control_wave"] = "control_wave"


__all__ = ["ControlWave", "WaveAction"]

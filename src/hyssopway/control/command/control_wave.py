"""Pauses, resumes or aborts a maintenance wave."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Literal


class WaveAction(StrEnum):
    """What to do with a wave."""

    PAUSE = "pause"
    RESUME = "resume"
    ABORT = "abort"


@dataclass(frozen=True, slots=True, kw_only=True)
class ControlWave:
    """Changes the status of a wave.

    Attributes:
        request_id: Identity of the request over resends.
        operator: Who asked.
        wave: Identity of the wave.
        action: What to do.
        expected_epoch: Epoch of the wave that the operator saw.
        reason: Why, for operators.
    """

    request_id: str
    operator: str
    wave: str
    action: WaveAction
    expected_epoch: int
    reason: str = ""
    kind: Literal["control_wave"] = "control_wave"


__all__ = ["ControlWave", "WaveAction"]

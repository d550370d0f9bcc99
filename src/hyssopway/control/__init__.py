"""The agreed state: commands, records and the deterministic state machine."""

from __future__ import annotations

from .change import Change
from .codec import decode_command, decode_outcome, encode_command, encode_outcome
from .envelope import Envelope
from .outcome import Outcome
from .state import ControlState

__all__ = [
    "Change",
    "ControlState",
    "Envelope",
    "Outcome",
    "decode_command",
    "decode_outcome",
    "encode_command",
    "encode_outcome",
]

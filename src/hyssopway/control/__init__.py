"""The agreed state: commands, records and the deterministic state machine."""

from __future__ import annotations

from .agreed_clock import AgreedClock
from .change import Change
from .codec import (
    decode_envelope,
    decode_outcome,
    encode_command,
    encode_envelope,
    encode_outcome,
    seal_command,
)
from .envelope import Envelope
from .outcome import Outcome
from .state import ControlState

__all__ = [
    "AgreedClock",
    "Change",
    "ControlState",
    "Envelope",
    "Outcome",
    "decode_envelope",
    "decode_outcome",
    "encode_command",
    "encode_envelope",
    "encode_outcome",
    "seal_command",
]

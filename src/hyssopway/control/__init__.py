"""The replicated state of the control group: commands, records and the deterministic state machine."""

from __future__ import annotations

from hyssopway.result import Outcome

from .change import Change
from .cluster_clock import ClusterClock
from .codec import (
    decode_envelope,
    decode_outcome,
    encode_command,
    encode_envelope,
    encode_outcome,
    wrap_command,
)
from .envelope import Envelope
from .state import ControlState

__all__ = [
    "Change",
    "ClusterClock",
    "ControlState",
    "Envelope",
    "Outcome",
    "decode_envelope",
    "decode_outcome",
    "encode_command",
    "encode_envelope",
    "encode_outcome",
    "wrap_command",
]

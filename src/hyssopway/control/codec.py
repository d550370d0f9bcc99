"""Encodes commands and outcomes as JSON."""

from __future__ import annotations

import hashlib
from dataclasses import replace
from typing import TYPE_CHECKING

from pydantic import TypeAdapter

from .envelope import Envelope
from .outcome import Outcome

if TYPE_CHECKING:
    from .command import OperatorCommand

_ENVELOPE = TypeAdapter(Envelope)
_OUTCOME = TypeAdapter(Outcome)


def encode_command(envelope: Envelope) -> bytes:
    """Encodes a log entry."""
    return _ENVELOPE.dump_json(envelope)


def decode_command(data: bytes) -> Envelope:
    """Decodes a log entry."""
    return _ENVELOPE.validate_json(data)


def encode_outcome(outcome: Outcome) -> bytes:
    """Encodes an outcome."""
    return _OUTCOME.dump_json(outcome)


def decode_outcome(data: bytes) -> Outcome:
    """Decodes an outcome."""
    return _OUTCOME.validate_json(data)


def fingerprint(command: OperatorCommand) -> str:
    """Hashes what a command asks for, without its request id."""
    data = encode_command(Envelope(at_ms=0, command=replace(command, request_id="")))
    return hashlib.sha256(data).hexdigest()


__all__ = ["decode_command", "decode_outcome", "encode_command", "encode_outcome", "fingerprint"]

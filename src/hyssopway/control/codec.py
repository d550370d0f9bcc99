"""Encodes and decodes commands, log entries and outcomes as JSON."""

from __future__ import annotations

import hashlib
from dataclasses import replace
from typing import TYPE_CHECKING

from pydantic import TypeAdapter

from hyssopway.result import Outcome

from .command import Command
from .envelope import Envelope

if TYPE_CHECKING:
    from .command import OperatorCommand

_ENVELOPE_ADAPTER = TypeAdapter(Envelope)
_COMMAND_ADAPTER: TypeAdapter[Command] = TypeAdapter(Command)
_OUTCOME_ADAPTER = TypeAdapter(Outcome)


def encode_envelope(envelope: Envelope) -> bytes:
    """Encodes a log entry."""
    return _ENVELOPE_ADAPTER.dump_json(envelope)


def decode_envelope(data: bytes) -> Envelope:
    """Decodes a log entry."""
    return _ENVELOPE_ADAPTER.validate_json(data)


def encode_command(command: Command) -> bytes:
    """Encodes a command to send it to the leader."""
    return _COMMAND_ADAPTER.dump_json(command)


def wrap_command(command: bytes, *, at_ms: int, wall_ms: int) -> bytes:
    """Validates an encoded command and wraps it into a log entry.

    Args:
        command: Encoded command.
        at_ms: Cluster time in milliseconds.
        wall_ms: Wall-clock time in milliseconds.

    Raises:
        ValueError: The bytes are not a command that this release knows.
    """
    _COMMAND_ADAPTER.validate_json(command)
    return b'{"at_ms":%d,"wall_ms":%d,"command":%b}' % (at_ms, wall_ms, command)


def encode_outcome(outcome: Outcome) -> bytes:
    """Encodes an outcome."""
    return _OUTCOME_ADAPTER.dump_json(outcome)


def decode_outcome(data: bytes) -> Outcome:
    """Decodes an outcome."""
    return _OUTCOME_ADAPTER.validate_json(data)


def fingerprint(command: OperatorCommand) -> str:
    """Returns the hash of a command without its request ID, to detect a request ID that is reused."""
    data = encode_envelope(Envelope(at_ms=0, wall_ms=0, command=replace(command, request_id="")))
    return hashlib.sha256(data).hexdigest()


__all__ = [
    "decode_envelope",
    "decode_outcome",
    "encode_command",
    "encode_envelope",
    "encode_outcome",
    "fingerprint",
    "wrap_command",
]

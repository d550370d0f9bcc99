"""What a member applies committed entries to."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from hyssopway.control import Outcome


class StateMachine(Protocol):
    """Deterministic state behind the log."""

    def apply(self, *, index: int, data: bytes) -> Outcome:
        """Applies one committed entry."""
        ...

    def encode_snapshot(self) -> bytes:
        """Encodes the state."""
        ...

    def restore_snapshot(self, data: bytes) -> None:
        """Replaces the state."""
        ...


__all__ = ["StateMachine"]

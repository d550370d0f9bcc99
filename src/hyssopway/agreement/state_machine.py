"""Interface of the replicated state machine."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from hyssopway.result import Outcome


class StateMachine(Protocol):
    """Deterministic state machine that committed entries are applied to."""

    def apply(self, *, index: int, data: bytes) -> Outcome:
        """Applies a committed entry; `data` is empty for entries without a command.

        Raises:
            UnsupportedVersionError: The entry raises the state to a version that this release does not support; nothing
                was applied.
        """
        ...

    def encode_snapshot(self) -> bytes:
        """Encodes the whole state."""
        ...

    def restore_snapshot(self, data: bytes) -> None:
        """Replaces the state with an encoded one.

        Raises:
            UnsupportedVersionError: The state has a version that this release does not support; nothing was replaced.
        """
        ...


__all__ = ["StateMachine"]

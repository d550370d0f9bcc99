"""Identity, term and vote of a member."""

from __future__ import annotations

from dataclasses import dataclass

from pydantic import TypeAdapter


@dataclass(frozen=True, slots=True, kw_only=True)
class Vote:
    """State that a member must keep across restarts besides its log.

    Attributes:
        member_id: Id of the member, created with its data folder.
        term: Current term.
        voted_for: Id of the candidate voted for in this term; empty if none.
        initial: Encoded initial configuration of the group; empty for a member that joined later.
    """

    member_id: str
    term: int = 0
    voted_for: str = ""
    initial: bytes = b""

    def encode(self) -> bytes:
        """Encodes the vote for the vote file."""
        return _ADAPTER.dump_json(self)

    @staticmethod
    def decode(data: bytes) -> Vote:
        """Decodes the contents of a vote file."""
        return _ADAPTER.validate_json(data)


_ADAPTER = TypeAdapter(Vote)

__all__ = ["Vote"]

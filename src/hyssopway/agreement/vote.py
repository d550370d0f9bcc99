"""Term and vote of a member."""

from __future__ import annotations

from dataclasses import dataclass

from pydantic import TypeAdapter


@dataclass(frozen=True, slots=True, kw_only=True)
class Vote:
    """What a member must remember across restarts besides its log.

    Attributes:
        member_id: Identity of the member, made with its data folder.
        term: Current term.
        voted_for: Candidate that got the vote of this term; empty when none.
        initial: Encoded configuration that the group started with; empty for a later member.
    """

    member_id: str
    term: int = 0
    voted_for: str = ""
    initial: bytes = b""

    def encode(self) -> bytes:
        """Encodes the vote for its file."""
        return _ADAPTER.dump_json(self)

    @staticmethod
    def decode(data: bytes) -> Vote:
        """Decodes a vote file."""
        return _ADAPTER.validate_json(data)


_ADAPTER = TypeAdapter(Vote)

__all__ = ["Vote"]

"""Identity, term and vote of a member."""

from __future__ import annotations

from dataclasses import dataclass

from .json_fields import decode_fields, encode_fields, read_field


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
        return encode_fields(
            {
                "member_id": self.member_id,
                "term": self.term,
                "voted_for": self.voted_for,
                "initial": self.initial.decode(),
            }
        )

    @staticmethod
    def decode(data: bytes) -> Vote:
        """Decodes the contents of a vote file.

        Raises:
            ValueError: The data is not an encoded vote.
        """
        fields = decode_fields(data)
        return Vote(
            member_id=read_field(fields, "member_id", kind=str),
            term=read_field(fields, "term", kind=int, default=0),
            voted_for=read_field(fields, "voted_for", kind=str, default=""),
            initial=read_field(fields, "initial", kind=str, default="").encode(),
        )


__all__ = ["Vote"]

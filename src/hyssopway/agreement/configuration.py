"""Members of the group."""

from __future__ import annotations

from dataclasses import dataclass

from pydantic import TypeAdapter


@dataclass(frozen=True, slots=True, kw_only=True)
class Configuration:
    """Which members vote and which only learn.

    A member id is ``daemon/identity``; the identity is new for each new data folder, so that a member
    whose disk was lost does not use a vote that it may have cast before.

    Attributes:
        voters: Ids of members that vote.
        learners: Ids of members that receive the log without a vote.
    """

    voters: tuple[str, ...] = ()
    learners: tuple[str, ...] = ()

    @property
    def quorum(self) -> int:
        """Votes needed for a decision."""
        return len(self.voters) // 2 + 1

    @property
    def members(self) -> tuple[str, ...]:
        """All members."""
        return (*self.voters, *self.learners)

    def encode(self) -> bytes:
        """Encodes the configuration for the log."""
        return _ADAPTER.dump_json(self)

    @staticmethod
    def decode(data: bytes) -> Configuration:
        """Decodes a configuration from the log."""
        return _ADAPTER.validate_json(data)


def daemon_of(member_id: str) -> str:
    """Returns the daemon that carries a member."""
    return member_id.partition("/")[0]


_ADAPTER = TypeAdapter(Configuration)

__all__ = ["Configuration", "daemon_of"]

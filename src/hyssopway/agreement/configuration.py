"""Membership of the Raft group."""

from __future__ import annotations

from dataclasses import dataclass

from .json_fields import decode_fields, encode_fields, read_names


@dataclass(frozen=True, slots=True, kw_only=True)
class Configuration:
    """Voters and learners of the group.

    A member id has the form ``daemon/identity``. Each new data folder gets a new identity, so a member that lost
    its disk cannot vote a second time in a term under its old id.

    Attributes:
        voters: Ids of the voting members.
        learners: Ids of the members that receive the log but do not vote.
    """

    voters: tuple[str, ...] = ()
    learners: tuple[str, ...] = ()

    @property
    def quorum(self) -> int:
        """Number of voters that form a majority."""
        return len(self.voters) // 2 + 1

    @property
    def members(self) -> tuple[str, ...]:
        """Ids of all voters and learners."""
        return (*self.voters, *self.learners)

    def encode(self) -> bytes:
        """Encodes the configuration as the data of a log entry."""
        return encode_fields({"voters": self.voters, "learners": self.learners})

    @staticmethod
    def decode(data: bytes) -> Configuration:
        """Decodes the data of a configuration entry.

        Raises:
            ValueError: The data is not an encoded configuration.
        """
        fields = decode_fields(data)
        return Configuration(voters=read_names(fields, "voters"), learners=read_names(fields, "learners"))


def daemon_of(member_id: str) -> str:
    """Returns the name of the daemon that hosts a member."""
    return member_id.partition("/")[0]


__all__ = ["Configuration", "daemon_of"]

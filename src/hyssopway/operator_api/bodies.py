"""Request bodies of operators."""

from __future__ import annotations

from dataclasses import dataclass

from hyssopway.control.record import ZoneStatus


@dataclass(frozen=True, slots=True, kw_only=True)
class CancelBody:
    """Cancels many jobs.

    Attributes:
        job_ids: The jobs.
    """

    job_ids: list[str]


@dataclass(frozen=True, slots=True, kw_only=True)
class TrialBody:
    """Puts a document into the trial environment.

    Attributes:
        text: The document.
        expected_generation: Generation that the operator saw.
    """

    text: str
    expected_generation: int


@dataclass(frozen=True, slots=True, kw_only=True)
class PromoteBody:
    """Promotes a tried document.

    Attributes:
        digest: Digest of the document.
        expected_generation: Generation that the operator saw.
    """

    digest: str
    expected_generation: int


@dataclass(frozen=True, slots=True, kw_only=True)
class GrantBody:
    """Grants a key whose secret stays with the operator.

    Attributes:
        key_id: Public part.
        key_hash: SHA-256 of the secret part, in hexadecimal.
        team: Team.
    """

    key_id: str
    key_hash: str
    team: str


@dataclass(frozen=True, slots=True, kw_only=True)
class ZoneBody:
    """Withdraws or restores a zone.

    Attributes:
        status: New status.
        expected_epoch: Epoch that the operator saw.
    """

    status: ZoneStatus
    expected_epoch: int | None = None


__all__ = ["CancelBody", "GrantBody", "PromoteBody", "TrialBody", "ZoneBody"]

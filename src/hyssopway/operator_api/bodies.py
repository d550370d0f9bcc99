"""Request bodies of operators and teams."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Annotated

from pydantic import Field

from hyssopway.control.record import ZoneStatus


@dataclass(frozen=True, slots=True, kw_only=True)
class CancelBody:
    """Cancels several jobs.

    Attributes:
        job_ids: IDs of the jobs.
    """

    job_ids: list[str]


@dataclass(frozen=True, slots=True, kw_only=True)
class TrialBody:
    """Activates a document in the trial environment.

    Attributes:
        text: Text of the document.
        expected_generation: Generation that the operator last read; the request fails if it has changed.
    """

    text: str
    expected_generation: Annotated[int, Field(ge=0)]


@dataclass(frozen=True, slots=True, kw_only=True)
class PromoteBody:
    """Promotes a document that the trial environment has accepted.

    Attributes:
        digest: Digest of the document.
        expected_generation: Generation that the operator last read; the request fails if it has changed.
    """

    digest: Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")]
    expected_generation: Annotated[int, Field(ge=0)]


@dataclass(frozen=True, slots=True, kw_only=True)
class GrantBody:
    """Grants a key whose secret stays with the operator.

    Attributes:
        key_id: Public part of the key.
        key_hash: SHA-256 of the secret part, in hexadecimal.
        team: Team that the key belongs to.
    """

    key_id: Annotated[str, Field(pattern=r"^[0-9A-Za-z]{1,64}$")]
    key_hash: Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")]
    team: Annotated[str, Field(min_length=1, max_length=200)]


@dataclass(frozen=True, slots=True, kw_only=True)
class ZoneBody:
    """Withdraws or restores a zone.

    Attributes:
        status: New status.
        expected_epoch: Epoch that the operator last read; None skips the check.
    """

    status: ZoneStatus
    expected_epoch: int | None = None


__all__ = ["CancelBody", "GrantBody", "PromoteBody", "TrialBody", "ZoneBody"]

"""A change of the rating of a VM."""

from __future__ import annotations

from dataclasses import dataclass

from .rating import Rating


@dataclass(frozen=True, slots=True, kw_only=True)
class RatingChange:
    """A change of the rating of a VM.

    Attributes:
        vm: ID of the VM.
        rating: New rating.
        reason: What determined it.
    """

    vm: str
    rating: Rating
    reason: str


__all__ = ["RatingChange"]

"""Remembers how much tasks of one image disturb those of another."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

# Share of tasks that fill beside images that they were never seen with.
FIRST_PERCENT = 50


class PaceHistory:
    """Shares at which serving tasks kept their target, by serving and filling image.

    Attributes:
        kept: Last share in percent by pair of images.
    """

    __slots__ = ("kept",)

    def __init__(self) -> None:
        self.kept: dict[tuple[str, str], int] = {}

    def read(self, images: Iterable[tuple[str, str]]) -> int:
        """Returns the share to begin with; that of the pair that disturbs most."""
        return min(self.kept.get(pair, FIRST_PERCENT) for pair in images)

    def note(self, images: Iterable[tuple[str, str]], *, percent: int) -> None:
        """Takes in the share that some VM has come to."""
        for pair in images:
            self.kept[pair] = percent

    def disturbs(self, pair: tuple[str, str]) -> bool:
        """Tells whether a filling image had to be slowed beside a serving one."""
        return self.kept.get(pair, FIRST_PERCENT) < FIRST_PERCENT


__all__ = ["FIRST_PERCENT", "PaceHistory"]

"""History of how much tasks of one image interfere with those of another."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

# Pace of best-effort tasks beside an image that they have not run with before.
FIRST_PERCENT = 50


class PaceHistory:
    """Paces (shares of full speed) of best-effort tasks, by pair of latency-bound and best-effort image.

    Attributes:
        kept: Last share in percent by pair of images.
    """

    __slots__ = ("kept",)

    def __init__(self) -> None:
        self.kept: dict[tuple[str, str], int] = {}

    def initial_percent(self, images: Iterable[tuple[str, str]]) -> int:
        """Returns the pace to begin with: the lowest of all pairs."""
        return min(self.kept.get(pair, FIRST_PERCENT) for pair in images)

    def record(self, images: Iterable[tuple[str, str]], *, percent: int) -> None:
        """Records the pace that some VM has reached."""
        for pair in images:
            self.kept[pair] = percent

    def interferes(self, pair: tuple[str, str]) -> bool:
        """Returns whether a best-effort image had to be slowed beside a latency-bound one."""
        return self.kept.get(pair, FIRST_PERCENT) < FIRST_PERCENT


__all__ = ["FIRST_PERCENT", "PaceHistory"]

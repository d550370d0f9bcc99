"""History of how much best-effort tasks of one image interfere with latency-bound tasks of another."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

# Initial pace of best-effort tasks beside an image that they have not run with before.
DEFAULT_PERCENT = 50


class PaceHistory:
    """Last paces of best-effort tasks, by pair of latency-bound and best-effort image.

    Attributes:
        last_percents: Last pace in percent of full speed by pair of images.
    """

    __slots__ = ("last_percents",)

    def __init__(self) -> None:
        self.last_percents: dict[tuple[str, str], int] = {}

    def initial_percent(self, images: Iterable[tuple[str, str]]) -> int:
        """Returns the pace to begin with, which is that of the pair with the most interference."""
        return min(self.last_percents.get(pair, DEFAULT_PERCENT) for pair in images)

    def record(self, images: Iterable[tuple[str, str]], *, percent: int) -> None:
        """Records the pace that the control of one VM has reached."""
        for pair in images:
            self.last_percents[pair] = percent

    def interferes(self, pair: tuple[str, str]) -> bool:
        """Returns whether a best-effort image had to be slowed beside a latency-bound one."""
        return self.last_percents.get(pair, DEFAULT_PERCENT) < DEFAULT_PERCENT


__all__ = ["DEFAULT_PERCENT", "PaceHistory"]

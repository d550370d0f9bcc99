"""Ranks of a VM by the neighbours that a latency-bound or best-effort task would have there."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    # Whether a latency-bound and a best-effort image disturb; only pairs for which this is known.
    KnownPairs = Mapping[tuple[str, str], bool]


def rank_for_serving(
    image: str, *, best_effort: Iterable[str], added: Iterable[str], known_pairs: KnownPairs
) -> int:
    """Returns the rank of a VM for a latency-bound task; the lowest is preferred.

    Args:
        image: Image of the task.
        best_effort: Images of the best-effort runs on the VM.
        added: Images of best-effort tasks that were placed on the VM in this round. They count only when they disturb.
        known_pairs: Whether each known pair disturbs.

    Returns:
        0 without neighbours or with harmless ones, 1 with a neighbour of unknown effect, 2 with one that disturbs.
    """
    effects = [known_pairs.get((image, neighbour)) for neighbour in best_effort]
    if any(effects) or any(known_pairs.get((image, neighbour)) for neighbour in added):
        return 2
    return int(None in effects)


def rank_for_best_effort(
    image: str, *, latency_bound: Iterable[str], added: Iterable[str], known_pairs: KnownPairs
) -> tuple[int, int]:
    """Returns the rank of a VM for a best-effort task; the lowest is preferred.

    Args:
        image: Image of the task.
        latency_bound: Images of the latency-bound runs on the VM.
        added: Images of latency-bound tasks that were placed on the VM in this round. They count only when the task
            disturbs them.
        known_pairs: Whether each known pair disturbs.

    Returns:
        Number of latency-bound runs that the task would disturb, and of those on which its effect is unknown.
    """
    effects = [known_pairs.get((neighbour, image)) for neighbour in latency_bound]
    disturbed = effects.count(True) + sum(known_pairs.get((neighbour, image), False) for neighbour in added)
    return disturbed, effects.count(None)


__all__ = ["rank_for_best_effort", "rank_for_serving"]

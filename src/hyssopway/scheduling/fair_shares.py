"""Weighted max-min division of capacity among teams, for loads in which one team demands more than the others."""

from __future__ import annotations

from itertools import accumulate
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping


def fair_shares(*, weights: Mapping[str, float], demands: Mapping[str, float]) -> dict[str, float]:
    """Divides capacity by weighted max-min fairness on the dominant resource.

    The dominant share of a team is the largest fraction of any one resource that it holds (Ghodsi et al.,
    "Dominant Resource Fairness", NSDI 2011). Capacity that a team does not demand is divided among the others.

    Args:
        weights: Weight of each team.
        demands: Dominant share that each team demands, including what it already holds.

    Returns:
        Dominant share of each team; the sum is at most 1.
    """
    shares: dict[str, float] = {}
    left = 1.0
    order = sorted(demands, key=lambda name: (demands[name] / weights[name], name))
    # Sums from the end: subtracting each weight from the total can leave 0 for weights that differ by many orders.
    remaining_weights = list(accumulate(weights[team] for team in reversed(order)))
    for team, weight in zip(order, reversed(remaining_weights), strict=True):
        shares[team] = min(demands[team], left * weights[team] / weight)
        left = max(0.0, left - shares[team])
    return shares


__all__ = ["fair_shares"]

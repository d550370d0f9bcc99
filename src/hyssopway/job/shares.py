"""Fair shares of teams."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping


def fair_shares(*, weights: Mapping[str, float], demands: Mapping[str, float]) -> dict[str, float]:
    """Divides the fleet by weighted max-min on the dominant resource.

    The dominant share of a team is the largest part of any resource that it holds (Ghodsi et al.,
    "Dominant Resource Fairness", NSDI 2011). What a team does not ask for is divided among the others.

    Args:
        weights: Weight of each team.
        demands: Dominant share that each team asks for, with what it holds.

    Returns:
        Dominant share of each team; they add up to 1 at most.
    """
    shares: dict[str, float] = {}
    left = 1.0
    weight = sum(weights[team] for team in demands)
    for team in sorted(demands, key=lambda name: (demands[name] / weights[name], name)):
        shares[team] = min(demands[team], left * weights[team] / weight)
        left = max(0.0, left - shares[team])
        weight -= weights[team]
    return shares


__all__ = ["fair_shares"]

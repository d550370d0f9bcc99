"""Divides slots between daemons whose total demand exceeds them."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping


def fair_shares(*, demands: Mapping[str, int], slots: int) -> dict[str, int]:
    """Divides slots by max-min fairness.

    Args:
        demands: Number of slots that each daemon can use.
        slots: Number of slots to divide.

    Returns:
        Number of slots per daemon. No daemon gets more than its demand; unused shares go to the others.
    """
    shares: dict[str, int] = {}
    left = slots
    for position, (daemon, demand) in enumerate(sorted(demands.items(), key=lambda item: (item[1], item[0]))):
        # The daemons with the largest demands get the remainder, so the sum equals the number of slots unless
        # the demands are smaller.
        shares[daemon] = min(demand, left // (len(demands) - position))
        left -= shares[daemon]
    return shares


__all__ = ["fair_shares"]

"""Divides slots between daemons that are all short of them."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping


def fair_shares(*, demands: Mapping[str, int], slots: int) -> dict[str, int]:
    """Divides slots by max-min fairness.

    Args:
        demands: Slots that each daemon could use.
        slots: Slots to divide.

    Returns:
        Slots for each daemon; nobody gets more than it could use, and what it leaves goes to the others.
    """
    shares: dict[str, int] = {}
    left = slots
    for position, (daemon, demand) in enumerate(sorted(demands.items(), key=lambda item: (item[1], item[0]))):
        # The remainder goes to the last ones, so that the sum is exactly the number of slots.
        shares[daemon] = min(demand, left // (len(demands) - position))
        left -= shares[daemon]
    return shares


__all__ = ["fair_shares"]

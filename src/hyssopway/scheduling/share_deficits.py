"""Past deficits of teams against their fair shares, for teams that were pushed aside by a burst of another team."""

from __future__ import annotations

from math import exp, log

# Half of a burst of 4 s: a deficit is compensated within the burst in which it arose.
HALF_LIFE_S = 2.0
DECAY_PER_S = log(2) / HALF_LIFE_S
# Rounds are at most 0.25 s apart while tasks wait; a longer gap is no evidence of a deficit.
MAX_INTERVAL_S = 0.25
# Entries that have decayed to less than this are dropped, so the number of entries is bounded by active teams.
MIN_DEFICIT = 1e-4


class ShareDeficits:
    """Exponentially decaying mean deficit of each team in each pool.

    Attributes:
        deficits: Mean deficit by pool and team, as a dominant share, and its local time in seconds.
    """

    __slots__ = ("deficits",)

    def __init__(self) -> None:
        self.deficits: dict[tuple[str, str], tuple[float, float]] = {}

    def update(self, key: tuple[str, str], *, fair: float, held: float, now: float) -> float:
        """Adds the time since the last update and returns the compensation, at most the fair share.

        Args:
            key: Pool and team with waiting tasks.
            fair: Fair dominant share of the team.
            held: Dominant share that the team holds.
            now: Local time in seconds.
        """
        mean, updated_at = self.deficits.get(key, (0.0, now))
        elapsed_s = max(0.0, now - updated_at)
        decayed = mean * exp(-DECAY_PER_S * elapsed_s)
        weight = min(elapsed_s, MAX_INTERVAL_S) * DECAY_PER_S
        decayed += weight * max(0.0, fair - held)
        self.deficits[key] = (decayed, now)
        return min(decayed, fair)

    def drop_decayed(self, *, now: float) -> None:
        """Drops the entries of teams that have not waited for some time."""
        self.deficits = {
            key: (mean, updated_at)
            for key, (mean, updated_at) in self.deficits.items()
            if now - updated_at <= MAX_INTERVAL_S
            or mean * exp(-DECAY_PER_S * (now - updated_at)) > MIN_DEFICIT
        }


__all__ = ["HALF_LIFE_S", "ShareDeficits"]

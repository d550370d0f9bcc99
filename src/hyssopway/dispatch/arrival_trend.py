"""Extrapolation of the arrival rate of workflows until a machine that is ordered now arrives.

At the start of a burst the arrival rate grows about fivefold within three seconds. Its mean over the recent window lags
by about a second, which is most of the duration of a move.
"""

from __future__ import annotations

import math

# Window of recent arrivals from which the rate is estimated; its growth is the difference between the two halves.
WINDOW_S = 1.5


def expected_rate_per_s(*, earlier: int, later: int, ahead_s: float) -> float:
    """Returns the expected mean arrival rate over the next `ahead_s` seconds, in arrivals per second.

    Args:
        earlier: Number of arrivals in the first half of the window.
        later: Number of arrivals in the second half of the window.
        ahead_s: Forecast horizon in seconds.
    """
    half_s = WINDOW_S / 2
    mean_rate = (earlier + later) / WINDOW_S
    # Arrivals are random: a difference within one standard deviation is not growth.
    growth = later - earlier - math.sqrt(later + earlier)
    if growth <= 0:
        return mean_rate
    return max(mean_rate, (later + growth * ahead_s / WINDOW_S) / half_s)


__all__ = ["WINDOW_S", "expected_rate_per_s"]

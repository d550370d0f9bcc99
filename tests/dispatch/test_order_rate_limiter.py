"""Tests the rate limit of machine orders."""

from __future__ import annotations

import pytest

from hyssopway.dispatch.order_rate_limiter import OrderRateLimiter


@pytest.mark.parametrize("accepted_per_s", [2.0, 16.0, 64.0])
@pytest.mark.parametrize("step_s", [0.05, 0.25, 1.0])
def test_no_second_exceeds_the_rate_of_the_platform(accepted_per_s, step_s):
    """Guards against sending more orders than the platform accepts per second when a burst begins."""
    limiter = OrderRateLimiter(accepted_per_s=accepted_per_s, now=0.0)
    sent = []
    for step in range(int(6 / step_s)):
        now = step * step_s
        sent += [now] * limiter.acquire(100, now=now)
    for start in sent:
        assert sum(start <= at < start + 0.999 for at in sent) <= accepted_per_s


def test_rate_is_used():
    """Guards against moving machines more slowly than the platform allows."""
    limiter = OrderRateLimiter(accepted_per_s=64.0, now=0.0)
    assert sum(limiter.acquire(100, now=step * 0.25) for step in range(1, 41)) >= 0.7 * 64 * 10


def test_steps_without_orders_take_no_tokens():
    """Guards against spending tokens in steps that send no orders."""
    limiter = OrderRateLimiter(accepted_per_s=16.0, now=0.0)
    assert [limiter.acquire(0, now=float(now)) for now in range(5)] == [0] * 5
    assert limiter.acquire(3, now=5.0) == 3

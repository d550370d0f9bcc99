"""Tests the pauses between the polls of a busy leader."""

from __future__ import annotations

import random

from hyssopway.dispatch.poll_rate_limiter import MAX_PAUSE_S, PollRateLimiter

# A pool of 140 VMs with eleven tasks of 640 ms each.
VM_COUNT = 140
ENDS_A_VM_PER_S = 17.0
POLL_S = 0.004


def replay_peak(*, seconds, limiter):
    """Simulates polls that are answered at the next end.

    Returns:
        Polls per second, ends per second, and the mean delay of an end in seconds.
    """
    rng = random.Random(1)
    polls = ends = 0
    delay_s = 0.0
    ready = [(rng.random() * 0.1, vm) for vm in range(VM_COUNT)]
    while ready:
        ready.sort()
        now, vm = ready.pop(0)
        if now > seconds:
            continue
        limiter.record_poll(now=now)
        pause_s = limiter.compute_pause_s()
        polls += 1
        in_pause = sum(rng.random() < ENDS_A_VM_PER_S * 0.001 for _ in range(int(pause_s * 1000)))
        ends += 1 + in_pause
        delay_s += in_pause * pause_s / 2
        wait_s = 0.0 if in_pause else rng.expovariate(ENDS_A_VM_PER_S)
        ready.append((now + POLL_S + pause_s + wait_s, vm))
    return polls / seconds, ends / seconds, delay_s / ends


def test_peak_load_takes_fewer_polls():
    """Guards against polls that use up the leader's CPU time at peak load while thousands of cores are idle."""
    polls_per_s, ends_per_s, delay_s = replay_peak(seconds=5.0, limiter=PollRateLimiter())
    assert ends_per_s > 0.9 * VM_COUNT * ENDS_A_VM_PER_S / (1 + ENDS_A_VM_PER_S * POLL_S)
    assert polls_per_s < 0.7 * ends_per_s
    assert delay_s < MAX_PAUSE_S / 2


def test_small_fleet_is_never_paused():
    """Guards against seeing ends late although the leader has CPU time to spare."""
    limiter = PollRateLimiter()
    for number in range(2000):
        limiter.record_poll(now=number / 250)
    assert limiter.compute_pause_s() == 0.0


def test_pause_ends_with_the_peak():
    """Guards against pauses that continue after the peak load is over."""
    limiter = PollRateLimiter()
    for number in range(3000):
        limiter.record_poll(now=number / 1500)
    assert limiter.compute_pause_s() == MAX_PAUSE_S
    limiter.record_poll(now=4.0)
    assert limiter.compute_pause_s() == 0.0

"""Pauses between the looks of a busy leader."""

from __future__ import annotations

import random

from hyssopway.dispatch.poll_rate_limiter import MAX_PAUSE_S, PollRateLimiter

# A pool of 140 VMs with eleven tasks of 640 ms each.
VM_COUNT = 140
ENDS_A_VM_PER_S = 17.0
LOOK_S = 0.004


def replay_peak(*, seconds, poll_limiter):
    """Replays looks that answer at the next end; returns looks and ends a second, and the mean delay of an end."""
    rng = random.Random(1)
    polls = ends = 0
    delay_s = 0.0
    ready = [(rng.random() * 0.1, vm) for vm in range(VM_COUNT)]
    while ready:
        ready.sort()
        now, vm = ready.pop(0)
        if now > seconds:
            continue
        poll_limiter.record_poll(now=now)
        pause_s = poll_limiter.compute_pause_s()
        polls += 1
        in_pause = sum(rng.random() < ENDS_A_VM_PER_S * 0.001 for _ in range(int(pause_s * 1000)))
        ends += 1 + in_pause
        delay_s += in_pause * pause_s / 2
        wait_s = 0.0 if in_pause else rng.expovariate(ENDS_A_VM_PER_S)
        ready.append((now + LOOK_S + pause_s + wait_s, vm))
    return polls / seconds, ends / seconds, delay_s / ends


def test_peak_of_a_turn_takes_fewer_looks():
    """Guards against looks that take the processor time of a leader while thousands of cores wait."""
    looks_per_s, ends_per_s, delay_s = replay_peak(seconds=5.0, poll_limiter=PollRateLimiter())
    assert ends_per_s > 0.9 * VM_COUNT * ENDS_A_VM_PER_S / (1 + ENDS_A_VM_PER_S * LOOK_S)
    assert looks_per_s < 0.7 * ends_per_s
    assert delay_s < MAX_PAUSE_S / 2


def test_small_fleet_is_never_paused():
    """Guards against ends that are seen late although the leader has time."""
    poll_limiter = PollRateLimiter()
    for number in range(2000):
        poll_limiter.record_poll(now=number / 250)
    assert poll_limiter.compute_pause_s() == 0.0


def test_pause_ends_with_the_peak():
    """Guards against a pause that outlasts the load that it is for."""
    poll_limiter = PollRateLimiter()
    for number in range(3000):
        poll_limiter.record_poll(now=number / 1500)
    assert poll_limiter.compute_pause_s() == MAX_PAUSE_S
    poll_limiter.record_poll(now=4.0)
    assert poll_limiter.compute_pause_s() == 0.0

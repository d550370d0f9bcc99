"""Tests the detection of runs that make no progress."""

from __future__ import annotations

from hyssopway.dispatch.stall_detector import MIN_STALL_S, StallDetector


def test_run_without_progress_is_found():
    """Replays a VM whose tasks hang: it answers polls, but the percentage done does not change."""
    detector = StallDetector()
    detector.update([("stuck", 0), ("works", 10)], now=0.0)
    detector.update([("stuck", 0), ("works", 60)], now=MIN_STALL_S)
    assert detector.is_stalled("stuck", declared_ms=500, now=MIN_STALL_S)
    assert not detector.is_stalled("works", declared_ms=500, now=MIN_STALL_S)


def test_long_task_gets_time_for_a_percent():
    """Guards against stopping a long task whose percentage done changes less often than the VM is polled."""
    detector = StallDetector()
    detector.update([("long", 3)], now=0.0)
    assert not detector.is_stalled("long", declared_ms=60_000, now=5.0)
    assert detector.is_stalled("long", declared_ms=60_000, now=10.0)


def test_run_that_is_no_longer_listed_is_dropped():
    """Guards against memory use that grows with every run."""
    detector = StallDetector()
    detector.update([("a", 1)], now=0.0)
    detector.update([], now=1.0)
    assert detector.last_progress == {}

"""Ejection of endpoints."""

from __future__ import annotations

from hyssopway.endpoint import EndpointHealth

SERVICE = ("production", "plan")


def _make(names: str, *, now: list[float]) -> EndpointHealth:
    health = EndpointHealth(clock=lambda: now[0])
    for name in names:
        for _ in range(10):
            health.record_success(name, service=SERVICE, seconds=0.01)
    return health


def test_failing_endpoint_is_ejected_probed_and_recovers():
    """Guards against full load on an endpoint that has failed a moment ago."""
    now = [0.0]
    health = _make("abcd", now=now)
    for _ in range(3):
        health.record_failure("a", service=SERVICE)
    assert health.concurrency_limit("a") == 0
    now[0] += 1.1
    assert health.concurrency_limit("a") == 1
    health.record_failure("a", service=SERVICE)
    assert health.concurrency_limit("a") == 0
    now[0] += 1.1
    assert health.concurrency_limit("a") == 0  # the second ejection is longer
    now[0] += 1.0
    for _ in range(3):
        health.record_success("a", service=SERVICE, seconds=0.01)
    assert health.concurrency_limit("a") is None


def test_slow_endpoint_is_ejected():
    """Guards against an endpoint that answers, but far slower than its peers."""
    health = _make("abcd", now=[0.0])
    for _ in range(30):
        health.record_success("a", service=SERVICE, seconds=0.5)
    assert health.ejected_endpoints(SERVICE) == ("a",)


def test_never_all_endpoints_are_ejected():
    """Guards against an outage made by the ejection itself when all fail for one cause."""
    health = _make("abcd", now=[0.0])
    for name in "abcd" * 5:
        health.record_failure(name, service=SERVICE)
    assert len(health.ejected_endpoints(SERVICE)) == 2

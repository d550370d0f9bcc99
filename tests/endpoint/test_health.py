"""Ejection of failing and slow endpoints."""

from __future__ import annotations

from hyssopway.endpoint import EndpointHealth

SERVICE = ("production", "plan")


def _make_health(names: str, *, now: list[float]) -> EndpointHealth:
    health = EndpointHealth(clock=lambda: now[0])
    for name in names:
        for _ in range(10):
            health.record_success(name, service=SERVICE, seconds=0.01)
    return health


def test_failing_endpoint_is_ejected_probed_and_recovers():
    """Guards against full load on an endpoint that failed recently."""
    now = [0.0]
    health = _make_health("abcd", now=now)
    for _ in range(3):
        health.record_failure("a", service=SERVICE)
    assert health.concurrency_limit("a") == 0
    now[0] += 1.1
    assert health.concurrency_limit("a") == 1
    health.record_failure("a", service=SERVICE)
    assert health.concurrency_limit("a") == 0
    now[0] += 1.1
    assert health.concurrency_limit("a") == 0  # a repeated ejection lasts longer
    now[0] += 1.0
    for _ in range(3):
        health.record_success("a", service=SERVICE, seconds=0.01)
    assert health.concurrency_limit("a") is None


def test_slow_endpoint_is_ejected():
    """Guards against an endpoint that responds far slower than the others of its service."""
    health = _make_health("abcd", now=[0.0])
    for _ in range(30):
        health.record_success("a", service=SERVICE, seconds=0.5)
    assert health.ejected_endpoints(SERVICE) == ("a",)


def test_at_most_half_of_endpoints_are_ejected():
    """Guards against an outage that the ejection itself causes when all endpoints fail for one reason."""
    health = _make_health("abcd", now=[0.0])
    for name in "abcd" * 5:
        health.record_failure(name, service=SERVICE)
    assert len(health.ejected_endpoints(SERVICE)) == 2

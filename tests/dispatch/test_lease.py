"""Tests the expiry of leases on VMs whose clock may run slow."""

from __future__ import annotations

import pytest

from hyssopway.dispatch.lease import CLOCK_DRIFT, VmLease, lease_expiry


@pytest.fixture
def lease():
    return VmLease(length_s=4.0, expires_at=10.0)


def test_no_lease_without_a_reading_of_the_clock(lease):
    """Guards against granting a lease before the VM's clock is known."""
    assert lease.renew(now=5.0) is None
    assert lease.expires_at == 10.0


@pytest.mark.parametrize("rate", [1 - CLOCK_DRIFT, 1.0])
def test_lease_has_ended_on_the_clock_of_the_vm(lease, rate):
    """Guards against starting a second run while the first one still holds a lease."""
    read_at, read_ms = 100.0, 50_000
    lease.record_clock(clock_ms=read_ms, now=read_at)
    until_ms = lease.renew(now=103.0)
    clock_at_end_ms = read_ms + (lease.expires_at - read_at) * rate * 1000
    assert clock_at_end_ms >= until_ms


def test_earlier_grant_is_not_shortened(lease):
    """Guards against ignoring a longer lease that an earlier leader granted."""
    lease.record_clock(clock_ms=0, now=0.0)
    lease.renew(now=0.0)
    assert lease.expires_at == 10.0
    assert lease_expiry(granted_at=7.0, length_s=4.0) > 11.0


@pytest.mark.parametrize("rate", [1 - CLOCK_DRIFT, 1.0])
def test_same_boot_never_answers_with_less_than_the_least_clock(lease, rate):
    """Guards against taking a VM with a slow clock for one that has restarted."""
    assert lease.find_least_clock_ms(at=100.0) is None
    lease.record_clock(clock_ms=50_000, now=100.0)
    for at in (100.0, 100.5, 160.0):
        assert int(50_000 + (at - 100.0) * rate * 1000) >= lease.find_least_clock_ms(at=at)
    assert lease.find_least_clock_ms(at=160.0) > 100_000

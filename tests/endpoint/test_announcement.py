"""Announcements with an odd address."""

from __future__ import annotations

import pytest
from pydantic import TypeAdapter, ValidationError

from hyssopway.endpoint import Announcement

ADAPTER = TypeAdapter(Announcement)


@pytest.mark.parametrize("address", ["http://10.0.0.1:8080", "https://vm.example", "http://[::1]:80"])
def test_base_url_of_an_endpoint_is_accepted(address):
    """Guards against a check that refuses usual addresses."""
    assert ADAPTER.validate_python({"service": "s", "address": address}).address == address


@pytest.mark.parametrize(
    "address",
    [
        "http://10.0.0.1:0",
        "http://10.0.0.1:99999",
        "http://10.0.0.1:-1",
        "http://10.0.0.1:x",
        "http://" + "a" * 100_000,
        "http://" + "a" * 64 + ".example",
        "http://ümlaut.example",
        "ftp://10.0.0.1",
        "http://10.0.0.1/path",
    ],
)
def test_odd_address_is_refused(address):
    """Guards against an endpoint whose address fails each request that is routed to it with an unexpected error."""
    with pytest.raises(ValidationError):
        ADAPTER.validate_python({"service": "s", "address": address})

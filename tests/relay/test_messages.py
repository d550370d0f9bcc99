"""Encoding of relayed requests and replies."""

from __future__ import annotations

import pytest

from hyssopway.relay import RelayedReply, RelayedRequest


@pytest.mark.parametrize("body", [b"", b"{}", b"\n\x00\xff\n"])
def test_request_round_trip(body):
    """Guards against a body that is truncated at a newline."""
    request = RelayedRequest(
        entry="callers", method="POST", path="/a/1", host="h:80", credential="Bearer ü", body=body
    )
    assert RelayedRequest.decode(request.encode()) == request


@pytest.mark.parametrize("body", [b"", b"\n{}\n"])
def test_reply_round_trip(body):
    """Guards against a reply that is altered by encoding."""
    reply = RelayedReply(status=503, headers={"Retry-After": "1"}, body=body, leader="10.0.0.1")
    assert RelayedReply.decode(reply.encode()) == reply

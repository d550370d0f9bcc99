"""Trailers of chunked bodies."""

from __future__ import annotations

from hyssopway.http.request_framer import RequestFramer
from hyssopway.http.request_limits import RequestLimits

HEAD = b"POST /p HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"


def test_long_trailer_within_the_limit_is_read():
    """Guards against a legal request that is refused because a trailer is longer than the line of a chunk size."""
    framer = RequestFramer(limits=RequestLimits())
    framer.feed(HEAD + b"1\r\nx\r\n0\r\nX-Signature: " + b"a" * 2000 + b"\r\n\r\n")
    request = framer.next_request(max_chunks=10)
    assert request is not None
    assert request.endswith(b"Content-Length: 1\r\n\r\nx")

"""Requests in the bytes of a connection, without a network."""

from __future__ import annotations

import pytest

from hyssopway.http.framing_error import FramingError
from hyssopway.http.request_framer import RequestFramer
from hyssopway.http.request_limits import RequestLimits
from hyssopway.result import ResultCode

GET = b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n"
POST = b"POST /a HTTP/1.1\r\nHost: x\r\ncontent-length: 5\r\n\r\nhello"
CHUNKED = (
    b"POST /a HTTP/1.1\r\nTransfer-Encoding: Chunked\r\nHost: x\r\n\r\n2;name=value\r\nhe\r\n3\r\nllo\r\n"
    b"0\r\nTrailer: y\r\n\r\n"
)
DECODED = b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhello"
MANY = 1_000_000


def read_all(framer, parts):
    requests = []
    for part in parts:
        framer.feed(part)
        while (request := framer.next_request(max_chunks=MANY)) is not None:
            requests.append(request)
    return requests


@pytest.mark.parametrize("step", [1, 2, 3, 7, 50, 1000])
def test_requests_are_found_however_they_arrive(step):
    """Guards against a request that is lost or joined to the next one because of where its bytes are split."""
    data = GET + POST + b"\r\n" + CHUNKED + GET + POST
    framer = RequestFramer(limits=RequestLimits())
    parts = [data[start : start + step] for start in range(0, len(data), step)]
    assert read_all(framer, parts) == [GET, POST, DECODED, GET, POST]
    assert not framer.is_inside_request
    assert framer.held_bytes == 0


@pytest.mark.parametrize("step", [1, 3, 50, 1000])
def test_streamed_body_keeps_its_bytes(step):
    """Guards against a streamed body that loses bytes where they are split."""
    framer = RequestFramer(limits=RequestLimits(streams_bodies=True))
    passed_on = b""
    for start in range(0, len(CHUNKED), step):
        framer.feed(CHUNKED[start : start + step])
        if not framer.is_body_open:
            passed_on += framer.next_request(max_chunks=MANY) or b""
        if framer.is_body_open:
            passed_on += framer.next_part(max_chunks=MANY)
    head, _, body = passed_on.partition(b"\r\n\r\n")
    assert head + b"\r\n\r\n" == CHUNKED[: CHUNKED.index(b"\r\n\r\n") + 4]
    whole = RequestFramer(limits=RequestLimits())
    assert read_all(whole, [CHUNKED[: len(head) + 4] + body]) == [DECODED]
    assert not framer.is_body_open


def test_largest_legal_body_in_chunks_of_one_byte_is_read():
    """Guards against a bound on chunks that a request within the limits meets."""
    limits = RequestLimits()
    framer = RequestFramer(limits=limits)
    head = b"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
    (request,) = read_all(framer, [head, b"1\r\nx\r\n" * limits.max_body_bytes, b"0\r\n\r\n"])
    assert request.endswith(b"\r\n\r\n" + b"x" * limits.max_body_bytes)


def test_decoder_stops_after_the_given_number_of_chunks_and_continues():
    """Guards against a body of many chunks that holds up the event loop, or that never ends."""
    framer = RequestFramer(limits=RequestLimits())
    framer.feed(b"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + b"1\r\nx\r\n" * 10 + b"0\r\n\r\n")
    calls = 1
    while (request := framer.next_request(max_chunks=3)) is None:
        assert framer.is_held_up
        calls += 1
    assert request.endswith(b"x" * 10)
    assert calls == 4


LIMITS = RequestLimits(max_head_bytes=200, max_body_bytes=100)


@pytest.mark.parametrize(
    ("data", "code"),
    [
        (b"GET /" + b"a" * 200, ResultCode.HEADER_TOO_LARGE),
        (b"GET / HTTP/1.1\r\n" + b"A: b\r\n" * 40, ResultCode.HEADER_TOO_LARGE),
        (b"\r\n" * 101, ResultCode.HEADER_TOO_LARGE),
        (b"\r\n" * 90 + GET, ResultCode.HEADER_TOO_LARGE),
        (b"\n\n", ResultCode.MALFORMED_REQUEST),
        (b"POST / HTTP/1.1\r\nContent-Length: 101\r\n\r\n", ResultCode.BODY_TOO_LARGE),
        (b"POST / HTTP/1.1\r\nContent-Length: " + b"9" * 99 + b"\r\n\r\n", ResultCode.BODY_TOO_LARGE),
        (b"POST / HTTP/1.1\r\nContent-Length: +5\r\n\r\n", ResultCode.MALFORMED_REQUEST),
        (
            b"POST / HTTP/1.1\r\nContent-Length: 5\r\nContent-Length: 5\r\n\r\n",
            ResultCode.MALFORMED_REQUEST,
        ),
        (
            b"POST / HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n",
            ResultCode.MALFORMED_REQUEST,
        ),
        (b"POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n", ResultCode.MALFORMED_REQUEST),
        (b"CONNECT a:80 HTTP/1.1\r\n\r\n", ResultCode.METHOD_NOT_ALLOWED),
    ],
)
@pytest.mark.parametrize("step", [1, 1000])
def test_request_beyond_the_limits_is_refused_before_its_end(data, code, step):
    """Guards against unfinished requests that are held beyond the limits, and against ambiguous bodies."""
    framer = RequestFramer(limits=LIMITS)
    with pytest.raises(FramingError) as raised:
        read_all(framer, [data[start : start + step] for start in range(0, len(data), step)])
    assert raised.value.code == code
    assert framer.held_bytes <= LIMITS.max_head_bytes + step


@pytest.mark.parametrize(
    ("chunks", "code"),
    [
        (b"65\r\n", ResultCode.BODY_TOO_LARGE),
        (b"32\r\n" + b"x" * 50 + b"\r\n33\r\n", ResultCode.BODY_TOO_LARGE),
        (b"f" * 16 + b"\r\n", ResultCode.MALFORMED_REQUEST),
        (b"-1\r\n", ResultCode.MALFORMED_REQUEST),
        (b"1\r\nxy\r\n", ResultCode.MALFORMED_REQUEST),
        (b"1;" + b"x" * 300, ResultCode.MALFORMED_REQUEST),
        (b"0\r\n" + b"A: b\r\n" * 2000, ResultCode.MALFORMED_REQUEST),
    ],
)
def test_bad_chunk_is_refused(chunks, code):
    """Guards against chunked bodies that grow beyond the limit, and against sizes that two parsers read differently."""
    framer = RequestFramer(limits=LIMITS)
    with pytest.raises(FramingError) as raised:
        read_all(framer, [b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", chunks])
    assert raised.value.code == code


@pytest.mark.parametrize(
    "data",
    [
        GET + b"x",
        POST[:-1],
        POST + b"x",
        CHUNKED,
        b"\r\n" + GET,
        b"POST / HTTP/1.1\r\nContent-Length: 101\r\n\r\n" + b"x" * 101,
        b"POST / HTTP/1.1\r\nContent-Length : 1\r\n\r\nx",
        b"POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\nx",
        b"POST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\nx",
        b"CONNECT a:80 HTTP/1.1\r\n\r\n",
        b"GET /" + b"a" * 200 + b" HTTP/1.1\r\n\r\n",
    ],
)
def test_unusual_request_is_not_passed_by_the_short_way(data):
    """Guards against a short way that passes on what the limits refuse or the parser reads differently."""
    framer = RequestFramer(limits=LIMITS)
    assert not framer.is_whole_request(data)
    assert framer.is_whole_request(GET)
    assert framer.is_whole_request(POST)

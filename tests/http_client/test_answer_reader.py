"""Answers from hosts that do not behave."""

from __future__ import annotations

import time

import pytest

from hyssopway.http_client import HttpAnswerReader, InvalidAnswerError

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
ROUNDS = 3


def read_tiny_chunks(count: int) -> float:
    """Returns the processor time in seconds to read an answer in chunks of one byte."""
    data = HEAD + b"1\r\nx\r\n" * count + b"0\r\n\r\n"
    started_at = time.process_time()
    answer = HttpAnswerReader().feed(data)
    spent_s = time.process_time() - started_at
    assert answer is not None
    assert answer.body == b"x" * count
    return spent_s


def test_answer_in_tiny_chunks_takes_time_in_proportion_to_its_size():
    """Guards against an event loop that is blocked for seconds by one answer, whose rest is copied with each chunk."""
    small = min(read_tiny_chunks(8192) for _ in range(ROUNDS))
    large = min(read_tiny_chunks(16 * 8192) for _ in range(ROUNDS))
    assert large < 64 * small


def test_interim_answers_without_end_are_refused():
    """Guards against an error of the recursion limit, and against a reader that never gives up."""
    with pytest.raises(InvalidAnswerError, match="interim"):
        HttpAnswerReader().feed(b"HTTP/1.1 100 Continue\r\n\r\n" * 10_000)

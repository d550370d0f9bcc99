"""Fuzz tests of the decoders: input is either rejected with an error message or can be replicated.

`make test` runs fixed examples, `make fuzz` generates new ones.
"""

from __future__ import annotations

import contextlib
import json
import math
import os

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from hyssopway.dispatch import WorkerUnreachableError
from hyssopway.relay.relayed_request import RelayedRequest
from hyssopway.workflow import AcceptWorkflow, PutDocument, WorkflowState, encode_command
from hyssopway_platform.bad_input import BadInputError
from hyssopway_platform.job_request import decode_job
from hyssopway_platform.manifest import decode_manifest
from hyssopway_platform.vm_report import decode_report
from hyssopway_platform.wave_request import decode_wave
from hyssopway_platform.worker_client import _decode_object, _decode_poll

GENERATE_NEW = bool(os.environ.get("FUZZ_FRESH"))
FUZZ = settings(
    max_examples=3000 if GENERATE_NEW else 150,
    derandomize=not GENERATE_NEW,
    deadline=None,
    suppress_health_check=[HealthCheck.too_slow, HealthCheck.filter_too_much],
)

NUMBERS = st.one_of(
    st.integers(-5, 5),
    st.integers(),
    st.floats(allow_nan=True, allow_infinity=True),
    st.sampled_from([2**31, 2**63, 10**30, 1e308, -1, 0]),
)
SCALARS = st.one_of(st.none(), st.booleans(), NUMBERS, st.text(max_size=8))
ANYTHING = st.recursive(
    SCALARS,
    lambda inner: st.one_of(
        st.lists(inner, max_size=3), st.dictionaries(st.text(max_size=6), inner, max_size=3)
    ),
    max_leaves=8,
)


def mutated(valid):
    """Generates variants of a valid value in which some parts are replaced by arbitrary values."""
    match valid:
        case dict():
            partial = st.fixed_dictionaries(
                {}, optional={key: mutated(value) for key, value in valid.items()}
            )
            full = st.fixed_dictionaries({key: mutated(value) for key, value in valid.items()})
            return st.one_of(full, full, partial, ANYTHING)
        case list():
            return st.one_of(st.tuples(*(mutated(one) for one in valid)).map(list), st.just(valid), ANYTHING)
        case bool() | str():
            return st.one_of(st.just(valid), st.just(valid), SCALARS)
        case _:
            return st.one_of(st.just(valid), NUMBERS, SCALARS)


JOB = {
    "specification": "text",
    "steps": [
        {
            "count": 2,
            "cpu": 500,
            "memory_request_mb": 256,
            "gpus": 0,
            "estimated_ms": 900,
            "anti_affinity": 1,
        },
        {"count": 1, "cpu": 500, "after": [0], "target_ms": 10, "may_miss": 1, "long_running": True},
    ],
    "repeat_count": 2,
    "start_at_ms": 5,
    "interval_ms": 100,
}
MANIFEST = {
    "version": 7,
    "routes": [
        {
            "name": "r",
            "host": "a.example",
            "path_prefix": "/p/",
            "timeout_ms": 3000,
            "target_latency_ms": 600,
            "service": "s",
            "advisor": {"decision_ms": 5, "per_worker_ms": 1, "validity_ms": 1000},
        }
    ],
    "services": [{"name": "s", "standby": True}],
    "tenants": [{"name": "t", "api_keys": ["k"], "weight": 2, "upper_limit": {"cpu": 10}}],
}
REPORT = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "nashua",
    "state": "ready",
    "capacity": {"cpu": 64000, "memory_request_mb": 1000, "gpus": 0},
    "labels": ["a", "r1"],
    "call_sequence": 4,
    "born": 17,
}
WAVE = {"wave": 1, "machines": ["m-1", "m-2"], "duration_s": 20, "upper_limit": 1}
POLL_ANSWER = {
    "clock_ms": 482113,
    "born": 7,
    "running": [["w.0.0.1", 2, "saved", 41, 7]],
    "finished": [[58, "w.0.0.0", 1, "done", ""]],
}

DECODERS = {
    "job": (JOB, decode_job),
    "manifest": (MANIFEST, decode_manifest),
    "report": (REPORT, lambda body: decode_report(vm="vm-1", body=body)),
    "wave": (WAVE, decode_wave),
}


def _apply_command(decoded):
    """Encodes and applies the decoded command as a leader does, and returns the state."""
    state = WorkflowState()
    match decoded:
        case object(steps=_):
            command = AcceptWorkflow(workflow_id="w", queue="q", team="t", spec=decoded, at_ms=1)
        case object(registration=registration):
            command = registration
        case object(queues=_):
            command = PutDocument(document=decoded)
        case _:
            command = decoded
    state.apply(index=1, data=encode_command(command))
    return state


@pytest.mark.parametrize("name", DECODERS)
@FUZZ
@given(data=st.data())
def test_input_is_rejected_or_can_be_replicated(name, data):
    """Guards against input that crashes a handler, and against commands that the log cannot store."""
    valid, decode = DECODERS[name]
    body = json.dumps(data.draw(mutated(valid))).encode()
    try:
        decoded = decode(body)
    except BadInputError:
        return
    state = _apply_command(decoded)
    restored = WorkflowState()
    restored.restore_snapshot(state.encode_snapshot())
    assert restored.tables == state.tables


@pytest.mark.parametrize("name", DECODERS)
@FUZZ
@given(body=st.one_of(st.binary(max_size=64), st.just(b"[" * 100_000), st.just(b'{"a":' * 50_000)))
def test_invalid_bytes_are_rejected(name, body):
    """Guards against invalid bytes that affect more than their own request."""
    with pytest.raises(BadInputError):
        DECODERS[name][1](body)


@FUZZ
@given(answer=mutated(POLL_ANSWER))
def test_list_of_runs_is_decoded_or_counts_as_no_answer(answer):
    """Guards against an invalid answer that ends the task that polls the VM."""
    try:
        decoded = _decode_object(json.dumps(answer).encode())
        reply = _decode_poll(decoded)
    except WorkerUnreachableError:
        return
    assert all(math.isfinite(row.percent) for row in reply.running)


@FUZZ
@given(raw=st.one_of(st.binary(max_size=64), st.just(b"[" * 100_000)))
def test_answer_of_a_vm_is_an_object_or_counts_as_none(raw):
    """Guards against an invalid answer that raises an unexpected error."""
    with contextlib.suppress(WorkerUnreachableError):
        assert isinstance(_decode_object(raw), dict)


@FUZZ
@given(data=st.one_of(st.binary(max_size=64), st.lists(SCALARS).map(lambda row: json.dumps(row).encode())))
def test_relayed_request_is_decoded_or_a_value_error(data):
    """Guards against an invalid message of a peer that affects more than its own call."""
    with contextlib.suppress(ValueError, RecursionError):
        RelayedRequest.decode(data)


@pytest.mark.parametrize(
    "change",
    [
        pytest.param({"repeat_count": 10**9, "interval_ms": 0}, id="endless occurrences at one moment"),
        pytest.param({"repeat_count": -1}, id="negative occurrences"),
        pytest.param({"repeat_count": 2, "interval_ms": -5}, id="schedule that runs backwards"),
    ],
)
def test_schedule_that_would_block_the_leader_is_refused(change):
    """Guards against a job whose schedule blocks the leader, and every next leader in turn."""
    with pytest.raises(BadInputError):
        decode_job(json.dumps(JOB | change).encode())


@pytest.mark.parametrize("field", ["cpu", "memory_request_mb", "gpus", "estimated_ms", "anti_affinity"])
def test_negative_amounts_are_refused(field):
    """Guards against a task with a negative size, which would add free capacity to a full VM."""
    job = {"specification": "", "steps": [{"count": 1, field: -4000}]}
    with pytest.raises(BadInputError):
        decode_job(json.dumps(job).encode())


def test_wave_with_infinite_deadline_is_refused():
    """Guards against a duration that is infinite in milliseconds; found by fuzzing."""
    with pytest.raises(BadInputError):
        decode_wave(json.dumps(WAVE | {"duration_s": 1.797693134862316e305}).encode())

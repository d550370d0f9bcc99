"""Decoders of the platform's requests: valid and invalid input."""

from __future__ import annotations

import json

import pytest

from hyssopway.workflow import Capacity
from hyssopway_platform.bad_input import BadInputError
from hyssopway_platform.job_request import decode_job
from hyssopway_platform.manifest import decode_manifest
from hyssopway_platform.vm_report import decode_report
from hyssopway_platform.wave_request import decode_wave

MANIFEST = {
    "version": 7,
    "routes": [
        {"name": "r", "host": "a.example", "path_prefix": "/p/", "timeout_ms": 3000, "service": "s"},
        {"name": "q", "host": "a.example", "path_prefix": "/q/", "timeout_ms": 3000, "service": "s"},
    ],
    "services": [{"name": "s", "standby": True}],
    "limits": {"max_body_bytes": 500},
    "tenants": [
        {"name": "t", "api_keys": ["k"], "weight": 2.5, "upper_limit": {"cpu": 10}, "new_field": 1},
        {"name": "u", "api_keys": ["l"], "weight": 1},
    ],
}
REPORT = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "nashua",
    "state": "ready",
    "capacity": {"cpu": 64000, "memory_request_mb": 1000, "gpus": 0},
    "labels": ["a", "r1"],
    "call_sequence": 4,
    "born": 1775430983000,
}


def changed(source, path, value):
    copy = json.loads(json.dumps(source))
    *parents, last = path
    inner = copy
    for key in parents:
        inner = inner[key]
    if value is ...:
        del inner[last]
    else:
        inner[last] = value
    return json.dumps(copy).encode()


def test_manifest_is_decoded():
    """Guards against confusing fields of the manifest."""
    document = decode_manifest(json.dumps(MANIFEST).encode())
    assert (document.version, document.max_body_bytes, document.pools[0].standby) == (7, 500, True)
    assert (document.queues[0].name, document.queues[0].pool) == ("r", "s")
    assert document.teams[0].upper_limit == Capacity(cpu_millis=10)
    assert json.loads(document.source) == MANIFEST


@pytest.mark.parametrize(
    "body",
    [
        pytest.param(json.dumps(MANIFEST).encode()[:-9], id="cut short"),
        pytest.param(b"\xff\x00", id="not text"),
        pytest.param(b"[]", id="not an object"),
        pytest.param(changed(MANIFEST, ["version"], "7"), id="version is text"),
        pytest.param(changed(MANIFEST, ["version"], ...), id="no version"),
        pytest.param(changed(MANIFEST, ["routes", 0, "service"], "x"), id="unknown service"),
        pytest.param(changed(MANIFEST, ["routes", 0, "timeout_ms"], 0), id="timeout of 0"),
        pytest.param(changed(MANIFEST, ["routes", 1, "path_prefix"], "/p/"), id="same place"),
        pytest.param(changed(MANIFEST, ["tenants", 1, "api_keys"], ["k"]), id="shared key"),
        pytest.param(changed(MANIFEST, ["tenants", 0, "weight"], 0), id="no weight"),
    ],
)
def test_invalid_manifest_is_refused(body):
    """Guards against an invalid manifest that becomes active."""
    with pytest.raises(BadInputError):
        decode_manifest(body)


def test_report_is_decoded():
    """Guards against registering a VM with the wrong pool, boot or state."""
    report = decode_report(vm="i-1", body=changed(REPORT, ["state"], "draining"))
    registration = report.registration
    assert (registration.vm, registration.pool, registration.boot) == ("i-1", "s", 1775430983000)
    assert (registration.draining, report.sequence) == (True, 4)


@pytest.mark.parametrize(
    "body",
    [
        pytest.param(b"{", id="unreadable"),
        pytest.param(changed(REPORT, ["state"], "dreaming"), id="unknown state"),
        pytest.param(changed(REPORT, ["address"], ...), id="no address"),
        pytest.param(changed(REPORT, ["address"], 5), id="address is a number"),
        pytest.param(changed(REPORT, ["capacity"], "big"), id="capacity is text"),
        pytest.param(changed(REPORT, ["born"], "soon"), id="birth is text"),
    ],
)
def test_invalid_report_is_refused(body):
    """Guards against registering a VM from an invalid report."""
    with pytest.raises(BadInputError):
        decode_report(vm="i-1", body=body)


def test_job_is_decoded():
    """Guards against wrong defaults of omitted fields."""
    body = {"specification": "x", "steps": [{"count": 2}, {"count": 1, "after": [0], "may_miss": 1}]}
    spec = decode_job(json.dumps(body).encode())
    assert spec.steps[0].disruption_allowance is None
    assert (spec.steps[1].after, spec.steps[1].disruption_allowance) == ((0,), 1)


@pytest.mark.parametrize(
    "job",
    [
        pytest.param({"steps": []}, id="no steps"),
        pytest.param({"steps": [{"count": 0}]}, id="no tasks"),
        pytest.param({"steps": [{"count": 1, "after": [0]}]}, id="after itself"),
        pytest.param({"steps": [{"count": "1"}]}, id="count is text"),
        pytest.param({"steps": [{"count": 1}], "specification": "x" * 4001}, id="long specification"),
    ],
)
def test_invalid_job_is_refused(job):
    """Guards against accepting a job that can never end."""
    with pytest.raises(BadInputError):
        decode_job(json.dumps(job).encode())


@pytest.mark.parametrize(("limit", "duration"), [(0, 10), (1, 0)])
def test_wave_with_limit_or_duration_of_0_is_refused(limit, duration):
    """Guards against accepting a wave that can never be completed."""
    body = {"wave": 1, "machines": ["m"], "duration_s": duration, "upper_limit": limit}
    with pytest.raises(BadInputError):
        decode_wave(json.dumps(body).encode())

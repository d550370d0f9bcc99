"""Refused requests of operators and submitters."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hyssopway_standins.processes import Deployment

HASH = "0" * 64
JOB = {"task_kind": "plan", "pool": "restock", "resources": {"cores": 1}}
GRANT = {"key_id": "a1", "key_hash": HASH, "team": "casco-bay"}
LONG = "x" * 300

# Method, path, token of the caller, body, headers, HTTP status, result code.
CASES = [
    ("GET", "/v1/zones", "nobody", None, {}, 403, 204),
    ("GET", "/v1/zones", "fleet", None, {}, 403, 204),
    ("GET", "/v1/zones", "team", None, {}, 403, 204),
    ("GET", "/v1/jobs", "nobody", None, {}, 401, 201),
    ("GET", "/v1/jobs", "operator", None, {}, 403, 202),
    ("GET", "/v1/jobs?status=odd", "team", None, {}, 400, 101),
    ("GET", "/v1/jobs?limit=0", "team", None, {}, 400, 101),
    ("GET", "/v1/jobs?limit=%C2%B2", "team", None, {}, 400, 101),
    ("GET", "/v1/jobs?after=x", "team", None, {}, 400, 101),
    ("GET", "/v1/vms?limit=10001", "operator", None, {}, 400, 101),
    ("GET", "/v1/vms?limit=-1", "operator", None, {}, 400, 101),
    ("GET", "/v1/jobs/absent", "team", None, {}, 404, 701),
    ("DELETE", "/v1/jobs/absent", "team", None, {}, 404, 701),
    ("POST", "/v1/jobs", "team", "text", {}, 400, 101),
    ("POST", "/v1/jobs", "team", {}, {}, 400, 101),
    ("POST", "/v1/jobs", "team", JOB | {"colour": 1}, {}, 400, 101),
    ("POST", "/v1/jobs", "team", JOB | {"run_s": "nan"}, {}, 400, 101),
    ("POST", "/v1/jobs", "team", JOB | {"run_s": -1}, {}, 400, 101),
    ("POST", "/v1/jobs", "team", JOB | {"task_kind": LONG}, {}, 400, 101),
    ("POST", "/v1/jobs", "team", JOB | {"arguments": "x" * 70_000}, {}, 400, 101),
    ("POST", "/v1/jobs", "team", JOB | {"resources": {"cores": -1}}, {}, 400, 101),
    ("POST", "/v1/jobs", "team", JOB, {"Idempotency-Key": LONG}, 431, 103),
    ("POST", "/v1/keys", "operator", GRANT | {"key_id": "a_b"}, {}, 400, 101),
    ("POST", "/v1/keys", "operator", GRANT | {"key_hash": "x"}, {}, 400, 101),
    ("POST", "/v1/keys", "operator", GRANT | {"team": "absent"}, {}, 404, 706),
    ("POST", "/v1/keys", "operator", GRANT, {"Hyssopway-Operator": LONG}, 431, 103),
    ("POST", "/v1/zones/absent", "operator", {"status": "open"}, {}, 404, 802),
    ("POST", "/v1/zones/Nashua", "operator", {"status": "odd"}, {}, 400, 101),
    ("POST", "/v1/zones/Nashua", "operator", {"status": "open", "expected_epoch": 9}, {}, 409, 301),
    ("POST", "/v1/documents/trial", "operator", {"text": "a: ["}, {}, 400, 101),
    ("POST", "/v1/documents/trial", "operator", {"text": "a: [", "expected_generation": 1}, {}, 422, 601),
    ("POST", "/v1/documents/trial", "operator", {"text": "", "expected_generation": -1}, {}, 400, 101),
    (
        "POST",
        "/v1/documents/production",
        "operator",
        {"digest": HASH, "expected_generation": 1},
        {},
        409,
        303,
    ),
    ("POST", "/v1/documents/production", "operator", {"digest": "x", "expected_generation": 1}, {}, 400, 101),
    ("POST", "/v1/documents/other", "operator", {}, {}, 405, 106),
    ("GET", "/v1/documents/other", "operator", None, {}, 404, 603),
    ("GET", "/v1/explain/job/absent", "operator", None, {}, 404, 701),
    ("GET", "/v1/explain/request/absent", "operator", None, {}, 404, 105),
    ("GET", "/v1/status?index=x", "operator", None, {}, 400, 101),
    ("GET", "/v1/status?index=%C2%B2", "operator", None, {}, 400, 101),
    ("GET", "/v2/status", "operator", None, {}, 404, 105),
    ("PUT", "/v1/keys", "operator", None, {}, 405, 106),
    ("PUT", "/v1/endpoints/e", "operator", {}, {}, 403, 205),
    ("PUT", "/v1/endpoints/e", "fleet", {}, {}, 400, 101),
    ("POST", "/v1/workers/w/sync", "fleet", [], {}, 400, 101),
    ("POST", "/v1/workers/w/sync", "nobody", {}, {}, 403, 205),
]


async def test_refusals_have_a_result_code_and_no_effect(deployment: Deployment, operator, session):
    """Guards against refusals without a result code, and against a refused change that takes effect."""
    tokens = {
        "nobody": "",
        "operator": deployment.operator_token,
        "fleet": deployment.fleet_token,
        "team": await operator.grant_key("casco-bay"),
    }
    before = [await operator.get(path) for path in ("/v1/keys", "/v1/zones", "/v1/documents/trial")]
    mismatches = []
    for method, path, who, body, headers, status, code in CASES:
        sent = headers | ({"Authorization": f"Bearer {tokens[who]}"} if tokens[who] else {})
        async with session.request(method, operator.url + path, json=body, headers=sent) as answer:
            found = await answer.json()
        if (answer.status, found["code"], found["work"]) != (status, code, "not_run"):
            mismatches.append((method, path, who, body, answer.status, found))
    assert not mismatches
    assert before == [await operator.get(path) for path in ("/v1/keys", "/v1/zones", "/v1/documents/trial")]


async def test_teams_access_only_their_own_jobs(operator, session):
    """Guards against a team that reads or cancels the jobs of another team."""
    owner, other = [await operator.grant_key(team) for team in ("casco-bay", "granite-hearth")]

    async def send(method: str, path: str, key: str, **options: object) -> tuple[int, dict]:
        headers = {"Authorization": f"Bearer {key}"}
        async with session.request(method, operator.url + path, headers=headers, **options) as answer:
            return answer.status, await answer.json()

    job = (await send("POST", "/v1/jobs", owner, json=JOB))[1]["job_id"]
    assert [item["job_id"] for item in (await send("GET", "/v1/jobs", owner))[1]["jobs"]] == [job]
    assert (await send("GET", "/v1/jobs", other))[1]["jobs"] == []
    for method in ("GET", "DELETE"):
        status, body = await send(method, f"/v1/jobs/{job}", other)
        assert (status, body["code"]) == (404, 701)
    assert (await send("GET", f"/v1/jobs/{job}", owner))[1]["status"] != "cancelled"

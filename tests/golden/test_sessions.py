"""Whole sessions of an operator and of a caller."""

from __future__ import annotations

import json

import pytest

from hyssopway_standins.command_line import CommandLine
from hyssopway_standins.fleet import EXAMPLES
from hyssopway_standins.waiting import wait_until

from .session import Session

DOCUMENT = str(EXAMPLES / "pantry" / "document.yaml")


@pytest.fixture
def rewrite(request) -> bool:
    return request.config.getoption("--rewrite-golden")


async def test_operator_session(deployment, rewrite, tmp_path):
    """Guards against an unnoticed change of what operators see and scripts read."""
    cli = CommandLine(deployment=deployment, operator="ana")
    session = Session()
    changed = tmp_path / "changed.yaml"
    changed.write_text(
        (EXAMPLES / "pantry" / "document.yaml").read_text().replace("max_tries: 4", "max_tries: 5")
    )
    broken = tmp_path / "broken.yaml"
    broken.write_text("name: pantry\nzones: []\npools:\n  - name: restock\n    spares: true\n")
    names = {DOCUMENT: "document.yaml", str(changed): "changed.yaml", str(broken): "broken.yaml"}
    key_id = ""
    for command in (
        f"check {DOCUMENT}",
        f"check {broken}",
        f"promote {DOCUMENT}",
        f"trial {DOCUMENT}",
        f"promote {DOCUMENT} --wait",
        f"trial {changed}",
        "diff",
        f"trial {DOCUMENT} --expect 1",
        f"promote {changed}",
        "history",
        "keys grant granite-hearth",
        "keys grant nobody",
        "keys list",
        "keys withdraw KEY",
        "keys list",
        "zones list",
        "zones withdraw Portland --wait",
        "zones withdraw Boston",
        "zones list --json",
        "zones restore Portland --expect 0",
        "zones restore Portland --at-once",
        "pools",
        "teams",
        "explain job absent",
        "explain request absent",
        "vms list",
    ):
        done = await cli.run(*command.replace("KEY", key_id).split())
        if command == "keys grant granite-hearth":
            key_id = done.stdout.split("_")[1]
        progress = [line for line in done.stderr.splitlines() if not line.startswith("in force on")]
        shown, out, err = command, done.stdout, "\n".join(progress)
        for path, name in names.items():
            shown, out, err = (text.replace(path, name) for text in (shown, out, err))
        session.add(f"hyssopway {shown}", out, err, f"[{done.status}]")
    session.compare("operator", rewrite=rewrite)


FLEET_STEPS = (
    ("vms list --pool restock", ""),
    ("vms list --limit 2 --after restock-vm-1", ""),
    ("vms drain restock-vm-1", "drained"),
    ("vms list --pool restock --state drained", ""),
    ("vms decide restock-vm-1 wait", ""),
    ("explain vm restock-vm-1", ""),
    ("status", ""),
    ("vms return restock-vm-1", "ready"),
    ("vms drain restock-vm-1 --expect 0", ""),
    ("vms move back-office-vm-1 matching", "moved"),
    ("vms list --pool matching", ""),
    ("zones withdraw Portland --dry-run", ""),
    ("zones withdraw Boston --dry-run", ""),
    ("waves start pickup", ""),
    ("waves start pickup", ""),
    ("waves pause WAVE", ""),
    ("waves show", ""),
    ("waves abort WAVE", ""),
    ("waves resume WAVE", ""),
    ("members list", ""),
    ("members promote nashua-1", ""),
    ("members remove absent", ""),
    ("jobs list --limit 1", ""),
    ("jobs cancel absent", ""),
    ("jobs cancel absent other", ""),
)


async def test_fleet_session(deployment, fleet_stand_in, operator, rewrite):
    """Guards against an unnoticed change of what operators see while they maintain the fleet.

    No platform is set, so the wave stays before its canary.
    """
    cli = CommandLine(deployment=deployment, operator="ana")
    session = Session()
    key = await operator.grant_key("granite-hearth")

    async def reached(wanted):
        vms = {item["vm"]["name"]: item["vm"] for item in (await operator.get("/v1/vms"))["vms"]}
        match wanted:
            case "registered":
                return len(vms) == len(fleet_stand_in.workers)
            case "moved":
                vm = vms["back-office-vm-1"]
                return (vm["pool"], vm["state"]) == ("matching", "ready")
            case state:
                return vms["restock-vm-1"]["state"] == state

    await wait_until(lambda: reached("registered"))
    for command, wanted in FLEET_STEPS:
        waves = (await operator.get("/v1/waves"))["waves"]
        real = command.replace("WAVE", waves[0]["wave"] if waves else "")
        done = await cli.run(*real.split(), key=key)
        session.add(f"hyssopway {command}", done.stdout, done.stderr, f"[{done.status}]")
        if wanted:
            await wait_until(lambda state=wanted: reached(state))
    session.compare("fleet", rewrite=rewrite)


async def test_caller_session(deployment, fleet_stand_in, operator, session, rewrite):
    """Guards against an unnoticed change of the answers that callers and submitters get."""
    key = await operator.grant_key("casco-bay")
    recorded = Session()
    job = {"task_kind": "plan", "pool": "restock", "resources": {"cores": 1}, "run_s": 1}
    steps = [
        ("POST", "/call/pickup-schedule/plan", {}, b"route"),
        ("POST", "/call/absent", {}, b"x"),
        ("POST", "/call/restock-plan", {}, b"plan"),
        ("POST", "/call/restock-plan", {"Authorization": "Bearer hk_a_b"}, b"plan"),
        ("POST", "/call/restock-plan", {"Authorization": f"Bearer {key}"}, b"plan"),
        ("POST", "/call/van-dispatch", {"Authorization": f"Bearer {key}"}, b"van"),
        ("POST", "/call/van-dispatch", {"Authorization": f"Bearer {key}", "Idempotency-Key": "v1"}, b"van"),
        ("POST", "/call/van-dispatch", {"Authorization": f"Bearer {key}", "Idempotency-Key": "v1"}, b"van"),
        ("POST", "/v1/jobs", {}, json.dumps(job).encode()),
        ("POST", "/v1/jobs", {"Authorization": f"Bearer {key}"}, b'{"task_kind": "plan"}'),
        (
            "POST",
            "/v1/jobs",
            {"Authorization": f"Bearer {key}", "Idempotency-Key": "j1"},
            json.dumps(job).encode(),
        ),
        ("GET", "/v1/jobs/absent", {"Authorization": f"Bearer {key}"}, None),
        ("PUT", "/v1/jobs", {"Authorization": f"Bearer {key}"}, b"{}"),
        ("GET", "/v1/absent", {}, None),
        ("GET", "/health", {}, None),
    ]
    await _wait_served(session, operator.url, key=key)
    for method, path, headers, body in steps:
        async with session.request(method, operator.url + path, headers=headers, data=body) as answer:
            text = await answer.text()
        shown = "".join(f" {name}: {value}" for name, value in headers.items())
        kept = {name: answer.headers[name] for name in ("Hyssopway-Replayed",) if name in answer.headers}
        recorded.add(f"{method} {path}{shown}", f"{answer.status} {kept or ''}", text)
    recorded.compare("caller", rewrite=rewrite)


async def _wait_served(session, url: str, *, key: str) -> None:
    headers = {"Authorization": f"Bearer {key}"}
    for service in ("pickup-schedule", "restock-plan", "van-dispatch"):
        for attempt in range(100):
            sent = headers | {"Idempotency-Key": f"warm-{attempt}"}
            async with session.post(f"{url}/call/{service}", data=b"x", headers=sent) as answer:
                if answer.status == 200:
                    break

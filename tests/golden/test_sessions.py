"""Golden-file tests of whole sessions of operators and callers."""

from __future__ import annotations

import json

import pytest

from hyssopway_standins.command_line import CommandLine
from hyssopway_standins.fleet import EXAMPLES
from hyssopway_standins.waiting import wait_until

from .transcript import Transcript

DOCUMENT = str(EXAMPLES / "pantry" / "document.yaml")


@pytest.fixture
def rewrite(request) -> bool:
    return request.config.getoption("--rewrite-golden")


async def test_operator_session(deployment, rewrite, tmp_path):
    """Guards against unintended changes of the output that operators read and scripts parse."""
    cli = CommandLine(deployment=deployment, operator="ana")
    transcript = Transcript()
    changed = tmp_path / "changed.yaml"
    changed.write_text(
        (EXAMPLES / "pantry" / "document.yaml").read_text().replace("max_tries: 4", "max_tries: 5")
    )
    broken = tmp_path / "broken.yaml"
    broken.write_text("name: pantry\nzones: []\npools:\n  - name: restock\n    spares: true\n")
    file_names = {DOCUMENT: "document.yaml", str(changed): "changed.yaml", str(broken): "broken.yaml"}
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
        progress = [line for line in done.stderr.splitlines() if not line.startswith("active on")]
        shown, out, err = command, done.stdout, "\n".join(progress)
        for path, name in file_names.items():
            shown, out, err = (text.replace(path, name) for text in (shown, out, err))
        transcript.add(f"hyssopway {shown}", out, err, f"[{done.status}]")
    transcript.compare("operator", rewrite=rewrite)


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
    """Guards against unintended changes of the output of maintenance commands.

    No platform is configured, so the wave never starts its canary.
    """
    cli = CommandLine(deployment=deployment, operator="ana")
    transcript = Transcript()
    key = await operator.grant_key("granite-hearth")

    async def has_reached(wanted_state):
        vms = {item["vm"]["name"]: item["vm"] for item in (await operator.get("/v1/vms"))["vms"]}
        match wanted_state:
            case "registered":
                return len(vms) == len(fleet_stand_in.workers)
            case "moved":
                vm = vms["back-office-vm-1"]
                return (vm["pool"], vm["state"]) == ("matching", "ready")
            case state:
                return vms["restock-vm-1"]["state"] == state

    await wait_until(lambda: has_reached("registered"))
    for command, wanted_state in FLEET_STEPS:
        waves = (await operator.get("/v1/waves"))["waves"]
        actual_command = command.replace("WAVE", waves[0]["wave"] if waves else "")
        done = await cli.run(*actual_command.split(), key=key)
        transcript.add(f"hyssopway {command}", done.stdout, done.stderr, f"[{done.status}]")
        if wanted_state:
            await wait_until(lambda state=wanted_state: has_reached(state))
    transcript.compare("fleet", rewrite=rewrite)


async def test_caller_session(deployment, fleet_stand_in, operator, session, rewrite):
    """Guards against unintended changes of the responses to callers and submitters."""
    key = await operator.grant_key("casco-bay")
    transcript = Transcript()
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
    await _wait_until_served(session, operator.url, key=key)
    for method, path, headers, body in steps:
        async with session.request(method, operator.url + path, headers=headers, data=body) as response:
            text = await response.text()
        shown = "".join(f" {name}: {value}" for name, value in headers.items())
        compared_headers = {
            name: response.headers[name] for name in ("Hyssopway-Replayed",) if name in response.headers
        }
        transcript.add(f"{method} {path}{shown}", f"{response.status} {compared_headers or ''}", text)
    transcript.compare("caller", rewrite=rewrite)


async def _wait_until_served(session, url: str, *, key: str) -> None:
    headers = {"Authorization": f"Bearer {key}"}
    for service in ("pickup-schedule", "restock-plan", "van-dispatch"):
        for attempt in range(100):
            request_headers = headers | {"Idempotency-Key": f"warm-{attempt}"}
            async with session.post(f"{url}/call/{service}", data=b"x", headers=request_headers) as response:
                if response.status == 200:
                    break

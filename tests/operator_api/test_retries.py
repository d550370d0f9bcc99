"""Retries of operators' changes after a lost answer."""

from __future__ import annotations

from hyssopway_standins.waiting import wait_until

GRANT = {"key_id": "a1", "key_hash": "0" * 64, "team": "casco-bay"}
VM = "back-office-vm-1"

# Path, body, another body that must be refused under the same request ID, and the required state of the VM.
EPOCH, STALE = {"expected_epoch": "VM"}, {"expected_epoch": 99}
CHANGES = [
    ("/v1/keys", GRANT, GRANT | {"key_id": "a2"}, "ready"),
    (f"/v1/vms/{VM}/drain", EPOCH, STALE, "ready"),
    (f"/v1/vms/{VM}/decision", EPOCH | {"decision": "stop"}, STALE | {"decision": "stop"}, "drained"),
    (f"/v1/vms/{VM}/return", EPOCH, STALE, "drained"),
    (f"/v1/vms/{VM}/move", EPOCH | {"target": "matching"}, STALE | {"target": "matching"}, "ready"),
    ("/v1/waves", {"pools": ["restock"]}, {"pools": ["matching"]}, "ready"),
    ("/v1/waves/WAVE/pause", {"expected_epoch": 1}, {"expected_epoch": 99}, "ready"),
    ("/v1/waves/WAVE/abort", {"expected_epoch": 2}, {"expected_epoch": 99}, "ready"),
    (
        "/v1/members",
        {"action": "promote", "member": "nashua-1"},
        {"action": "promote", "member": "worcester-1"},
        "ready",
    ),
    # Last, because a withdrawal takes spare VMs on its own.
    ("/v1/zones/Portland", {"status": "withdrawn", "expected_epoch": 0}, {"status": "open"}, "ready"),
]


async def test_retry_of_each_change_returns_the_first_outcome(deployment, fleet_stand_in, operator, session):
    """Guards against a change that takes effect twice, or that a retry reports as refused."""
    urls = [daemon.url for daemon in deployment.daemons.values()]
    headers = {"Authorization": f"Bearer {deployment.operator_token}"}

    async def find_vm(state):
        vms = [item["vm"] for item in (await operator.get("/v1/vms"))["vms"]]
        return next((vm for vm in vms if vm["name"] == VM and vm["state"] == state), None)

    async def post(url, path, body, number):
        sent = headers | {"Idempotency-Key": f"resend-{number}"}
        async with session.post(url + path, json=body, headers=sent) as answer:
            return answer.status, await answer.json()

    wave = ""
    for number, (path, body, other, state) in enumerate(CHANGES):
        epoch = (await wait_until(lambda wanted=state: find_vm(wanted)))["epoch"]
        real = {name: epoch if value == "VM" else value for name, value in body.items()}
        route = path.replace("WAVE", wave)
        first = await post(urls[0], route, real, number)
        again = await post(urls[-1], route, real, number)
        reused = await post(urls[1], route, other, number)
        assert again[0] == first[0], (route, first, again)
        assert again[1].get("index") == first[1].get("index") or path == "/v1/members", (route, first, again)
        assert (reused[0], reused[1]["code"]) == (409, 302), (route, reused)
        assert first[0] == 200 or path.endswith("decision"), (route, first)
        if path == "/v1/waves":
            wave = first[1]["reference"]

"""Drains and moves of VMs through real processes, checked against the runs on the workers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import pytest

from hyssopway_standins.fleet import EXAMPLES
from hyssopway_standins.waiting import wait_until

if TYPE_CHECKING:
    import aiohttp

    from hyssopway_standins.fleet_stand_in import FleetStandIn
    from hyssopway_standins.operator_client import OperatorClient
    from hyssopway_standins.processes import Deployment


@pytest.fixture
async def start_job(
    deployment: Deployment,
    fleet_stand_in: FleetStandIn,
    operator: OperatorClient,
    session: aiohttp.ClientSession,
):
    """Returns a function that starts a job of 30 s and returns its ID and VM."""
    key = await operator.grant_key("granite-hearth")
    url = deployment.daemons["portland-1"].url

    async def start(*, checkpointable: bool) -> tuple[str, str]:
        resources = {"cores": 4, "memory_gb": 8}
        spec = {"task_kind": "plan", "pool": "restock", "resources": resources, "run_s": 3000}
        spec["checkpointable"] = checkpointable
        headers = {"Authorization": f"Bearer {key}"}

        async def accept() -> Any:
            async with session.post(f"{url}/v1/jobs", json=spec, headers=headers) as response:
                return await response.json() if response.status == 202 else None

        job_id = (await wait_until(accept))["job_id"]

        async def find() -> Any:
            return next((vm for vm, worker in fleet_stand_in.workers.items() if job_id in worker.tasks), None)

        return job_id, await wait_until(find)

    return start


async def test_drain_checkpoints_or_waits_and_operator_decides(
    deployment: Deployment, fleet_stand_in: FleetStandIn, operator: OperatorClient, start_job: Any
):
    """Guards against a drain that interrupts work, and one that ends without the decision of an operator."""
    text = (EXAMPLES / "pantry" / "document.yaml").read_text().replace("drain_s: 600", "drain_s: 1")
    trial = await operator.post("/v1/documents/trial", {"text": text, "expected_generation": 1})
    await operator.post("/v1/documents/production", {"digest": trial["reference"], "expected_generation": 1})
    checkpointed_job, vm = await start_job(checkpointable=True)
    await operator.post(f"/v1/vms/{vm}/drain", {"expected_epoch": await read_epoch(operator, vm)})
    await wait_until(lambda: vm_in_state(operator, vm, "drained"))
    assert (await operator.get(f"/v1/explain/job/{checkpointed_job}"))["checkpoint"] == "checkpoint"
    new_vm = next(name for name, worker in fleet_stand_in.workers.items() if checkpointed_job in worker.tasks)
    assert new_vm != vm
    await operator.post(f"/v1/vms/{vm}/return", {"expected_epoch": await read_epoch(operator, vm)})

    job, vm = await start_job(checkpointable=False)
    await operator.post(f"/v1/vms/{vm}/drain", {"expected_epoch": await read_epoch(operator, vm)})
    await wait_until(lambda: is_permit_overdue(operator, vm))
    await wait_until(lambda: decision_requested(deployment, vm))
    assert job in fleet_stand_in.workers[vm].tasks
    stop = {"expected_epoch": await read_epoch(operator, vm), "decision": "stop"}
    await operator.post(f"/v1/vms/{vm}/decision", stop)
    await wait_until(lambda: vm_in_state(operator, vm, "drained"))
    assert (await operator.get(f"/v1/explain/job/{job}"))["status"] in ("pending", "running")


async def test_move_and_failure_of_a_vm(
    deployment: Deployment,
    fleet_stand_in: FleetStandIn,
    operator: OperatorClient,
    session: aiohttp.ClientSession,
):
    """Guards against a move that leaves the VM stopped, and a failed VM that remains in use."""
    vm = "back-office-vm-1"
    await wait_until(lambda: vm_in_state(operator, vm, "ready"))
    body = {"expected_epoch": await read_epoch(operator, vm), "target": "restock"}
    first = await operator.post(f"/v1/vms/{vm}/move", body, request_id="move-1")
    moved = await wait_until(lambda: vm_in_pool(operator, vm, "restock"))
    assert moved["state"] == "ready"
    assert await operator.post(f"/v1/vms/{vm}/move", body, request_id="move-1") == first
    fleet_stand_in.workers[vm].stop()
    await wait_until(lambda: vm_in_state(operator, vm, "down"))
    fleet_stand_in.workers[vm].start()
    await wait_until(lambda: vm_in_state(operator, vm, "ready"))


async def decision_requested(deployment: Deployment, vm: str) -> bool:
    logs = "".join(daemon.log_path.read_text() for daemon in deployment.daemons.values())
    return f"VM {vm} needs a decision" in logs


async def find_vm(operator: OperatorClient, vm: str) -> Any:
    listed = (await operator.get("/v1/vms"))["vms"]
    return next((item["vm"] for item in listed if item["vm"]["name"] == vm), None)


async def read_epoch(operator: OperatorClient, vm: str) -> int:
    return int((await find_vm(operator, vm))["epoch"])


async def vm_in_state(operator: OperatorClient, vm: str, state: str) -> Any:
    found = await find_vm(operator, vm)
    return found if found and found["state"] == state else None


async def vm_in_pool(operator: OperatorClient, vm: str, pool: str) -> Any:
    found = await find_vm(operator, vm)
    return found if found and found["pool"] == pool else None


async def is_permit_overdue(operator: OperatorClient, vm: str) -> bool:
    permits = (await operator.get("/v1/permits"))["permits"]
    return any(item["permit"]["vm"] == vm and item["overdue"] for item in permits)

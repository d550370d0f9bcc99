"""Commands that list, drain, return and move VMs."""

from enum import StrEnum
from typing import Annotated, Any

import typer

from .access import operator_client
from .options import After, Json, Limit, RequestId, WaitTimeout
from .output import write_fields, write_json, write_next_page_hint, write_table
from .route_path import list_path, route_path
from .waiting import wait_until_drained


class DrainDecision(StrEnum):
    """How a drain continues when its work does not end in time."""

    WAIT = "wait"
    STOP = "stop"


app = typer.Typer(help="List, drain, return and move VMs, and decide about drains.", no_args_is_help=True)

VmName = Annotated[str, typer.Argument(metavar="VM")]
ExpectedEpoch = Annotated[
    int | None,
    typer.Option("--expect", metavar="EPOCH", help="Refuse unless the VM is at this epoch; read by default."),
]


@app.command("list")
def list_vms(
    context: typer.Context,
    pool: Annotated[str, typer.Option("--pool", help="Only VMs of this pool.")] = "",
    zone: Annotated[str, typer.Option("--zone", help="Only VMs of this zone.")] = "",
    state: Annotated[str, typer.Option("--state", help="Only VMs in this state.")] = "",
    limit: Limit = 0,
    after: After = "",
    as_json: Json = False,
) -> None:
    """List VMs with their state and running jobs.

    Example: hyssopway vms list --pool restock --state ready --limit 100
    """
    path = list_path("vms", pool=pool, zone=zone, state=state, limit=limit, after=after)
    data = operator_client(context).read(path)
    if as_json:
        write_json(data)
        return
    rows = [_vm_row(item) for item in data["vms"]]
    write_table(columns=("VM", "pool", "zone", "rack", "state", "running", "reason"), rows=rows)
    write_next_page_hint(data.get("next"))


@app.command()
def drain(
    context: typer.Context,
    vm: VmName,
    expect: ExpectedEpoch = None,
    request_id: RequestId = "",
    wait: Annotated[bool, typer.Option("--wait", help="Wait until the VM is drained.")] = False,
    wait_timeout: WaitTimeout = 600,
) -> None:
    """Drain a VM: take a permit and let its work end.

    Example: hyssopway vms drain restock-vm-1 --wait
    """
    _send_change(context, vm=vm, action="drain", body={}, expect=expect, request_id=request_id)
    if wait:
        wait_until_drained(operator_client(context), vm=vm, timeout_s=wait_timeout)


@app.command("return")
def return_vm(
    context: typer.Context, vm: VmName, expect: ExpectedEpoch = None, request_id: RequestId = ""
) -> None:
    """Return a drained VM to its pool.

    Example: hyssopway vms return restock-vm-1
    """
    _send_change(context, vm=vm, action="return", body={}, expect=expect, request_id=request_id)


@app.command()
def move(
    context: typer.Context,
    vm: VmName,
    pool: Annotated[str, typer.Argument(metavar="POOL", help="Pool to move the VM to.")],
    expect: ExpectedEpoch = None,
    request_id: RequestId = "",
) -> None:
    """Move a drained VM to another pool.

    Example: hyssopway vms move restock-vm-1 matching
    """
    _send_change(context, vm=vm, action="move", body={"target": pool}, expect=expect, request_id=request_id)


@app.command()
def decide(
    context: typer.Context,
    vm: VmName,
    decision: Annotated[
        DrainDecision, typer.Argument(metavar="wait|stop", help="Wait longer for the work, or stop it.")
    ],
    expect: ExpectedEpoch = None,
    request_id: RequestId = "",
) -> None:
    """Decide how to continue a drain whose work does not end.

    Example: hyssopway vms decide restock-vm-1 stop
    """
    body = {"decision": decision.value}
    _send_change(context, vm=vm, action="decision", body=body, expect=expect, request_id=request_id)


def _send_change(
    context: typer.Context,
    *,
    vm: str,
    action: str,
    body: dict[str, Any],
    expect: int | None,
    request_id: str,
) -> None:
    client = operator_client(context)
    if expect is None:
        vms = [item["vm"] for item in client.read("/v1/vms")["vms"]]
        # Epoch 0 for an unknown VM: the server then reports that it does not exist.
        expect = next((int(item["epoch"]) for item in vms if item["name"] == vm), 0)
    path = route_path("vms", vm, action)
    body = body | {"expected_epoch": expect}
    retry_options = f"--expect {expect}"
    write_fields(client.change("POST", path, body, request_id=request_id, retry_options=retry_options))


def _vm_row(item: dict[str, Any]) -> tuple[Any, ...]:
    vm = item["vm"]
    return (
        vm["name"],
        vm["pool"],
        vm["zone"],
        vm["rack"],
        vm["state"],
        len(item["running"]),
        vm["reason"],
    )


__all__ = ["app"]

"""Commands about VMs."""

from typing import Annotated, Any

import typer

from .access import operator_connection
from .options import Json, RequestId
from .output import write_fields, write_json, write_table
from .route_path import route_path

app = typer.Typer(help="List, drain, return and move VMs.", no_args_is_help=True)

VmName = Annotated[str, typer.Argument(metavar="VM")]
Epoch = Annotated[
    int | None,
    typer.Option("--expect", metavar="EPOCH", help="Refuse unless the VM is at this epoch; read by default."),
]


@app.command("list")
def list_vms(
    context: typer.Context,
    pool: Annotated[str, typer.Option("--pool", help="Only VMs of this pool.")] = "",
    zone: Annotated[str, typer.Option("--zone", help="Only VMs of this zone.")] = "",
    state: Annotated[str, typer.Option("--state", help="Only VMs in this state.")] = "",
    as_json: Json = False,
) -> None:
    """List VMs with their state and running jobs.

    Example: hyssopway vms list --pool restock --state ready
    """
    wanted = {"pool": pool, "zone": zone, "state": state}
    items = [
        item
        for item in operator_connection(context).read("/v1/vms")["vms"]
        if all(item["vm"][name] == value for name, value in wanted.items() if value)
    ]
    if as_json:
        write_json({"vms": items})
        return
    rows = [_row(item) for item in items]
    write_table(columns=("VM", "pool", "zone", "rack", "state", "running", "reason"), rows=rows)


@app.command()
def drain(context: typer.Context, vm: VmName, expect: Epoch = None, request_id: RequestId = "") -> None:
    """Take a permit for a VM and let its work end.

    Example: hyssopway vms drain restock-vm-1
    """
    _change(context, vm=vm, action="drain", body={}, expect=expect, request_id=request_id)


@app.command("return")
def return_vm(context: typer.Context, vm: VmName, expect: Epoch = None, request_id: RequestId = "") -> None:
    """Return a drained VM to its pool.

    Example: hyssopway vms return restock-vm-1
    """
    _change(context, vm=vm, action="return", body={}, expect=expect, request_id=request_id)


@app.command()
def move(
    context: typer.Context,
    vm: VmName,
    pool: Annotated[str, typer.Argument(metavar="POOL", help="Pool that it moves to.")],
    expect: Epoch = None,
    request_id: RequestId = "",
) -> None:
    """Move a drained VM to another pool.

    Example: hyssopway vms move restock-vm-1 matching
    """
    _change(context, vm=vm, action="move", body={"target": pool}, expect=expect, request_id=request_id)


def _change(
    context: typer.Context,
    *,
    vm: str,
    action: str,
    body: dict[str, Any],
    expect: int | None,
    request_id: str,
) -> None:
    connection = operator_connection(context)
    if expect is None:
        vms = [item["vm"] for item in connection.read("/v1/vms")["vms"]]
        # The server has the message for a VM that does not exist.
        expect = next((int(item["epoch"]) for item in vms if item["name"] == vm), 0)
    path = route_path("vms", vm, action)
    body = body | {"expected_epoch": expect}
    resend = f"--expect {expect}"
    write_fields(connection.change("POST", path, body, request_id=request_id, resend=resend))


def _row(item: dict[str, Any]) -> tuple[Any, ...]:
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

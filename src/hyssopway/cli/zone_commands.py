"""Commands that withdraw, restore and list availability zones."""

import json
from typing import Annotated, Any

import typer

from .access import operator_client
from .options import Json, RequestId, Wait, WaitTimeout
from .output import write_json, write_line, write_table
from .route_path import route_path
from .waiting import wait_until_active

app = typer.Typer(help="Withdraw, restore and list availability zones.", no_args_is_help=True)

ZoneName = Annotated[str, typer.Argument(metavar="ZONE")]
ExpectedEpoch = Annotated[
    int | None, typer.Option("--expect", metavar="EPOCH", help="Refuse unless the zone is at this epoch.")
]


@app.command("list")
def list_zones(context: typer.Context, as_json: Json = False) -> None:
    """List availability zones.

    Example: hyssopway zones list
    """
    data = operator_client(context).read("/v1/zones")
    if as_json:
        write_json(data)
        return
    rows = [(zone["name"], zone["status"], zone["epoch"], zone["changed_by"]) for zone in data["zones"]]
    write_table(columns=("zone", "status", "epoch", "changed by"), rows=rows)


@app.command()
def withdraw(
    context: typer.Context,
    zone: ZoneName,
    dry_run: Annotated[
        bool, typer.Option("--dry-run", help="Show the effects without withdrawing the zone.")
    ] = False,
    expect: ExpectedEpoch = None,
    request_id: RequestId = "",
    wait: Wait = False,
    wait_timeout: WaitTimeout = 16,
) -> None:
    """Take a zone out of service: no further task starts there.

    Example: hyssopway zones withdraw Portland --wait
    """
    if dry_run:
        _write_withdrawal_report(operator_client(context).read(route_path("zones", zone, "withdrawal")))
        return
    _set_zone(
        context,
        zone=zone,
        status="withdrawn",
        expect=expect,
        request_id=request_id,
        wait_s=wait_timeout if wait else None,
    )


@app.command()
def restore(
    context: typer.Context,
    zone: ZoneName,
    at_once: Annotated[bool, typer.Option("--at-once", help="Use its whole capacity immediately.")] = False,
    expect: ExpectedEpoch = None,
    request_id: RequestId = "",
    wait: Wait = False,
    wait_timeout: WaitTimeout = 16,
) -> None:
    """Return a zone to service; the scheduler raises its load in steps.

    Example: hyssopway zones restore Portland
    """
    _set_zone(
        context,
        zone=zone,
        status="open" if at_once else "returning",
        expect=expect,
        request_id=request_id,
        wait_s=wait_timeout if wait else None,
    )


def _set_zone(
    context: typer.Context,
    *,
    zone: str,
    status: str,
    expect: int | None,
    request_id: str,
    wait_s: float | None,
) -> None:
    client = operator_client(context)
    body = {"status": status, "expected_epoch": expect}
    retry_options = "" if expect is None else f"--expect {expect}"
    outcome = client.change(
        "POST", route_path("zones", zone), body, request_id=request_id, retry_options=retry_options
    )
    write_line(f"zone {zone} is {status} at epoch {outcome['generation']}")
    if wait_s is not None:
        wait_until_active(client, index=outcome["index"], timeout_s=wait_s)


def _write_withdrawal_report(report: dict[str, Any]) -> None:
    zone = report["zone"]
    write_line(f"zone {zone['name']} is {zone['status']} at epoch {zone['epoch']}")
    write_line(f"VMs: {_format_counts(report['vms'])}")
    columns = ("pool", "vms", "down", "max_down", "to_empty", "emptied_at_once", "kept_waiting")
    rows = [[budget[name] for name in columns] for budget in report["budgets"]]
    write_table(columns=[name.replace("_", " ") for name in columns], rows=rows)
    write_line(f"services: {', '.join(report['services']) or 'none'}")
    write_line(f"jobs: {_format_counts(report['jobs'])}")
    write_line(f"VMs missing in other zones: {_format_counts(report['missing_vms'])}")
    write_line(f"spare VMs: {', '.join(sorted(report['spare_vms'])) or 'none'}")
    if report["stopped_by_failures"]:
        write_line(f"stopped by failures: {json.dumps(report['stopped_by_failures'])}")


def _format_counts(counts: Any) -> str:
    if not isinstance(counts, dict):
        return str(counts)
    return ", ".join(f"{count} {name.replace('_', ' ')}" for name, count in sorted(counts.items())) or "none"


__all__ = ["app"]

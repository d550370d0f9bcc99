"""Commands that show the state of a deployment and its processes."""

from typing import Annotated, Any

import typer

from .access import operator_client
from .options import Json
from .output import write_json, write_line, write_table


def status(context: typer.Context, as_json: Json = False) -> None:
    """Show daemons, the active configuration, waves, zones, open questions and latencies.

    Example: hyssopway status
    """
    data = operator_client(context).read("/v1/status")
    if as_json:
        write_json(data)
        return
    columns = ("daemon", "zone", "reachable", "role", "confirmed", "generation", "endpoints", "workers")
    write_table(columns=columns, rows=[_daemon_row(daemon) for daemon in data["daemons"]])
    rollout = data["rollout"]
    write_line(f"production generation {rollout['generation']}: {_describe_rollout(rollout)}")
    _write_fleet(data["fleet"])
    _write_latencies(data["metrics"]["latencies_ms"])


def dump(
    context: typer.Context,
    entry: Annotated[
        str,
        typer.Option(
            "--of", metavar="URL", help="URL of the process to query; the first entry VM by default."
        ),
    ] = "",
) -> None:
    """Print the state of one process as JSON.

    Example: hyssopway dump
    """
    client = operator_client(context)
    if entry:
        client.entries = [entry]
    write_json(client.read("/v1/dump"))


def _write_fleet(fleet: dict[str, Any]) -> None:
    permits = ", ".join(f"{count} for {purpose}" for purpose, count in sorted(fleet["permits"].items()))
    write_line(f"permits: {permits or 'none'}")
    for zone in fleet["zones_out"]:
        write_line(f"zone {zone['zone']}: {zone['status']} by {zone['changed_by']}")
    for wave in fleet["waves"]:
        progress = ", ".join(f"{count} {name}" for name, count in sorted(wave["progress"].items()))
        reason = f" ({wave['reason']})" if wave["reason"] else ""
        write_line(f"wave {wave['wave']}: {wave['status']}{reason}: {progress}")
    for question in fleet["questions"]:
        vm = question["vm"]
        waited = f"work on VM {vm} has not ended after {question['waiting_s']:.0f} s"
        write_line(f"question: {waited}; answer with: hyssopway vms decide {vm} wait|stop")


def _write_latencies(latencies: dict[str, Any]) -> None:
    if latencies:
        columns = ("count", "p50", "p90", "p99", "p99.9", "max")
        rows = [[name, *(item[column] for column in columns)] for name, item in latencies.items()]
        write_table(columns=["latency in ms", *columns], rows=rows)


def _daemon_row(daemon: dict[str, Any]) -> tuple[Any, ...]:
    reachable = "yes" if daemon["reachable"] else "no"
    confirmed = {True: "yes", False: "no"}.get(daemon.get("confirmed", ""), "")
    rest = [daemon.get(name, "") for name in ("generation", "endpoints", "workers")]
    return (daemon["daemon"], daemon["zone"], reachable, daemon.get("role"), confirmed, *rest)


def _describe_rollout(rollout: dict[str, Any]) -> str:
    parts = [f"active on {len(rollout['in_force'])} processes"]
    if rollout["behind"]:
        parts.append(f"not yet on {', '.join(rollout['behind'])}")
    if rollout["unreachable"]:
        names = ", ".join(rollout["unreachable"])
        parts.append(f"unreachable: {names}, authority expires in {rollout['old_ends_in_s']:.1f} s")
    return "; ".join(parts)


__all__ = ["dump", "status"]

"""Commands that list pools and teams."""

import typer

from .access import operator_client
from .options import Json
from .output import write_json, write_table


def pools(context: typer.Context, as_json: Json = False) -> None:
    """List pools with their VMs and availability budgets.

    Example: hyssopway pools
    """
    data = operator_client(context).read("/v1/pools")
    if as_json:
        write_json(data)
        return
    rows = [
        (
            item["pool"]["name"],
            len(item["vms"]),
            item["pool"]["budget"]["max_down"],
            "yes" if item["pool"]["spare"] else "no",
        )
        for item in data["pools"]
    ]
    write_table(columns=("pool", "VMs", "max down", "spare"), rows=rows)


def teams(context: typer.Context, as_json: Json = False) -> None:
    """List teams with their share, upper limits and current usage.

    Example: hyssopway teams
    """
    data = operator_client(context).read("/v1/teams")
    if as_json:
        write_json(data)
        return
    rows = []
    for item in data["teams"]:
        team, usage = item["team"], item["usage"] or {}
        held = usage.get("resources") or {}
        rows.append(
            (
                team["name"],
                team["share"],
                team["limit"]["cores"],
                held.get("cores", 0),
                team["max_running"],
                usage.get("tasks", 0),
            )
        )
    columns = ("team", "share", "limit cores", "held cores", "limit running", "running")
    write_table(columns=columns, rows=rows)


__all__ = ["pools", "teams"]

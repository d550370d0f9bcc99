"""Commands that list and change the control members."""

from typing import Annotated

import typer

from .access import operator_client
from .options import Json, RequestId
from .output import write_fields, write_json, write_line, write_table

app = typer.Typer(help="List, add, promote and remove control members.", no_args_is_help=True)

MemberName = Annotated[str, typer.Argument(metavar="MEMBER", help="Member ID, as shown by `members list`.")]


@app.command("list")
def list_members(context: typer.Context, as_json: Json = False) -> None:
    """List control members.

    Example: hyssopway members list
    """
    data = operator_client(context).read("/v1/members")
    if as_json:
        write_json(data)
        return
    members = data["members"]
    columns = list(dict.fromkeys(name for member in members for name in member))
    write_table(columns=columns, rows=[[member.get(name) for name in columns] for member in members])
    for name in data.get("waiting", []):
        write_line(f"waiting to be added: {name}")


@app.command()
def add(context: typer.Context, member: MemberName, request_id: RequestId = "") -> None:
    """Add a member as a non-voting learner.

    Example: hyssopway members add MEMBER
    """
    _send_change(context, action="add", member=member, request_id=request_id)


@app.command()
def promote(context: typer.Context, member: MemberName, request_id: RequestId = "") -> None:
    """Promote a learner that has caught up to a voting member.

    Example: hyssopway members promote MEMBER
    """
    _send_change(context, action="promote", member=member, request_id=request_id)


@app.command()
def remove(context: typer.Context, member: MemberName, request_id: RequestId = "") -> None:
    """Remove a member; do this first if its VM is permanently lost.

    Example: hyssopway members remove MEMBER
    """
    _send_change(context, action="remove", member=member, request_id=request_id)


def _send_change(context: typer.Context, *, action: str, member: str, request_id: str) -> None:
    body = {"action": action, "member": member}
    write_fields(operator_client(context).change("POST", "/v1/members", body, request_id=request_id))


__all__ = ["app"]

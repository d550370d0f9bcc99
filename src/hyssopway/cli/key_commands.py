"""Commands that grant, withdraw and list the keys of teams."""

import hashlib
from typing import Annotated

import typer

from .access import operator_client
from .command_error import CommandError
from .exit_status import ExitStatus
from .options import Json, RequestId, Wait, WaitTimeout
from .output import format_time, write_json, write_line, write_table
from .route_path import route_path
from .waiting import wait_until_active

app = typer.Typer(help="Grant, withdraw and list keys of teams.", no_args_is_help=True)


@app.command()
def grant(
    context: typer.Context,
    team: Annotated[str, typer.Argument(metavar="TEAM")],
    as_json: Json = False,
) -> None:
    """Grant a new key to a team; the key is printed once and not stored.

    Example: hyssopway keys grant granite-hearth
    """
    from hyssopway.key.format import make_key

    key_id, text = make_key()
    secret = text.rsplit("_", 1)[1]
    body = {"key_id": key_id, "key_hash": hashlib.sha256(secret.encode()).hexdigest(), "team": team}
    try:
        operator_client(context).change("POST", "/v1/keys", body)
    except CommandError as error:
        if error.status is ExitStatus.MAY_HAVE_RUN:
            message = f"key {key_id} may have been granted; withdraw it if `hyssopway keys list` shows it"
            raise CommandError(status=error.status, message=message) from error
        raise
    if as_json:
        write_json({"key_id": key_id, "team": team, "key": text})
    else:
        write_line(text)


@app.command()
def withdraw(
    context: typer.Context,
    key: Annotated[str, typer.Argument(metavar="KEY_ID")],
    request_id: RequestId = "",
    wait: Wait = False,
    wait_timeout: WaitTimeout = 16,
) -> None:
    """Withdraw a key; it stops working within seconds.

    Example: hyssopway keys withdraw 0a1b2c3d4e5f --wait
    """
    client = operator_client(context)
    outcome = client.change("DELETE", route_path("keys", key), request_id=request_id)
    write_line(f"key {key} withdrawn")
    if wait:
        wait_until_active(client, index=outcome["index"], timeout_s=wait_timeout)


@app.command("list")
def list_keys(context: typer.Context, as_json: Json = False) -> None:
    """List keys without their secrets.

    Example: hyssopway keys list
    """
    data = operator_client(context).read("/v1/keys")
    if as_json:
        write_json(data)
        return
    rows = [
        (
            item["key_id"],
            item["team"],
            item["granted_by"],
            format_time(item["granted_ms"]),
            item["withdrawn_by"],
            format_time(item["withdrawn_ms"]),
        )
        for item in data["keys"]
    ]
    columns = ("key", "team", "granted by", "granted", "withdrawn by", "withdrawn")
    write_table(columns=columns, rows=rows)


__all__ = ["app"]

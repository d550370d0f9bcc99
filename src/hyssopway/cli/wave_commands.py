"""Commands that start, show and control maintenance waves."""

from typing import Annotated

import typer

from .access import operator_client
from .options import Json, RequestId
from .output import write_fields, write_json, write_table
from .route_path import route_path

app = typer.Typer(help="Start, show and control maintenance waves.", no_args_is_help=True)

WaveName = Annotated[str, typer.Argument(metavar="WAVE")]
ExpectedEpoch = Annotated[
    int | None,
    typer.Option(
        "--expect", metavar="EPOCH", help="Refuse unless the wave is at this epoch; read by default."
    ),
]


@app.command()
def start(
    context: typer.Context,
    pools: Annotated[list[str], typer.Argument(metavar="POOL...", help="Pools whose VMs get maintenance.")],
    request_id: RequestId = "",
) -> None:
    """Start a maintenance wave for one or more pools.

    Example: hyssopway waves start restock matching
    """
    body = {"pools": pools}
    write_fields(operator_client(context).change("POST", "/v1/waves", body, request_id=request_id))


@app.command()
def pause(
    context: typer.Context, wave: WaveName, expect: ExpectedEpoch = None, request_id: RequestId = ""
) -> None:
    """Pause a wave: take no further VM, finish the VMs already taken.

    Example: hyssopway waves pause WAVE
    """
    _send_change(context, wave=wave, action="pause", expect=expect, request_id=request_id)


@app.command()
def resume(
    context: typer.Context, wave: WaveName, expect: ExpectedEpoch = None, request_id: RequestId = ""
) -> None:
    """Continue a paused wave.

    Example: hyssopway waves resume WAVE
    """
    _send_change(context, wave=wave, action="resume", expect=expect, request_id=request_id)


@app.command()
def abort(
    context: typer.Context, wave: WaveName, expect: ExpectedEpoch = None, request_id: RequestId = ""
) -> None:
    """Abort a wave; VMs already taken are returned to their pools.

    Example: hyssopway waves abort WAVE
    """
    _send_change(context, wave=wave, action="abort", expect=expect, request_id=request_id)


@app.command()
def show(
    context: typer.Context,
    wave: Annotated[str, typer.Argument(metavar="[WAVE]", help="Wave to show; all by default.")] = "",
    as_json: Json = False,
) -> None:
    """Show the progress of waves.

    Example: hyssopway waves show
    """
    data = operator_client(context).read("/v1/waves")
    waves = [item for item in data["waves"] if wave in ("", item["wave"])]
    if as_json:
        write_json({"waves": waves})
        return
    columns = list(dict.fromkeys(name for item in waves for name in item))
    write_table(columns=columns, rows=[[_format_cell(item.get(name)) for name in columns] for item in waves])


def _send_change(
    context: typer.Context, *, wave: str, action: str, expect: int | None, request_id: str
) -> None:
    client = operator_client(context)
    if expect is None:
        waves = client.read("/v1/waves")["waves"]
        # Epoch 0 for an unknown wave: the server then reports that it does not exist.
        expect = next((int(item["epoch"]) for item in waves if item["wave"] == wave), 0)
    path = route_path("waves", wave, action)
    body = {"expected_epoch": expect}
    retry_options = f"--expect {expect}"
    write_fields(client.change("POST", path, body, request_id=request_id, retry_options=retry_options))


def _format_cell(value: object) -> object:
    return ", ".join(f"{count} {name}" for name, count in value.items()) if isinstance(value, dict) else value


__all__ = ["app"]

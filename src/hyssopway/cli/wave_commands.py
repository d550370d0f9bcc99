"""Commands about maintenance waves."""

from typing import Annotated

import typer

from .access import operator_connection
from .options import Json, RequestId
from .output import write_fields, write_json, write_table
from .route_path import route_path

app = typer.Typer(help="Start, show and control maintenance waves.", no_args_is_help=True)

WaveName = Annotated[str, typer.Argument(metavar="WAVE")]


@app.command()
def start(
    context: typer.Context,
    pools: Annotated[list[str], typer.Argument(metavar="POOL...", help="Pools whose VMs are maintained.")],
    request_id: RequestId = "",
) -> None:
    """Start a maintenance wave over pools.

    Example: hyssopway waves start restock matching
    """
    body = {"pools": pools}
    write_fields(operator_connection(context).change("POST", "/v1/waves", body, request_id=request_id))


@app.command()
def pause(context: typer.Context, wave: WaveName, request_id: RequestId = "") -> None:
    """Take no further VM; work on VMs already taken ends.

    Example: hyssopway waves pause WAVE
    """
    _change(context, wave=wave, action="pause", request_id=request_id)


@app.command()
def resume(context: typer.Context, wave: WaveName, request_id: RequestId = "") -> None:
    """Continue a paused wave.

    Example: hyssopway waves resume WAVE
    """
    _change(context, wave=wave, action="resume", request_id=request_id)


@app.command()
def abort(context: typer.Context, wave: WaveName, request_id: RequestId = "") -> None:
    """End a wave; VMs already taken are returned.

    Example: hyssopway waves abort WAVE
    """
    _change(context, wave=wave, action="abort", request_id=request_id)


@app.command()
def show(
    context: typer.Context,
    wave: Annotated[str, typer.Argument(metavar="[WAVE]", help="All waves by default.")] = "",
    as_json: Json = False,
) -> None:
    """Show the progress of waves.

    Example: hyssopway waves show
    """
    data = operator_connection(context).read("/v1/waves")
    waves = [item for item in data["waves"] if wave in ("", item.get("wave"), item.get("name"))]
    if as_json:
        write_json({"waves": waves})
        return
    columns = list(dict.fromkeys(name for item in waves for name, value in item.items() if _is_plain(value)))
    write_table(columns=columns, rows=[[item.get(name) for name in columns] for item in waves])


def _change(context: typer.Context, *, wave: str, action: str, request_id: str) -> None:
    path = route_path("waves", wave, action)
    write_fields(operator_connection(context).change("POST", path, {}, request_id=request_id))


def _is_plain(value: object) -> bool:
    return not isinstance(value, dict | list)


__all__ = ["app"]

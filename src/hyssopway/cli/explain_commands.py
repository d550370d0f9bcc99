"""Commands that explain scheduling decisions and the outcome of requests."""

from typing import Annotated, Any

import typer

from .access import operator_client
from .options import Json
from .output import write_fields, write_json, write_line
from .route_path import route_path

app = typer.Typer(help="Explain the state of a job, a VM or a request.", no_args_is_help=True)


@app.command()
def job(
    context: typer.Context, job_id: Annotated[str, typer.Argument(metavar="JOB")], as_json: Json = False
) -> None:
    """Explain where and why a job ran, or why it has not run.

    Example: hyssopway explain job JOB
    """
    _explain(context, kind="job", name=job_id, as_json=as_json)


@app.command()
def vm(
    context: typer.Context, name: Annotated[str, typer.Argument(metavar="VM")], as_json: Json = False
) -> None:
    """Explain the state of a VM.

    Example: hyssopway explain vm restock-vm-1
    """
    _explain(context, kind="vm", name=name, as_json=as_json)


@app.command()
def request(
    context: typer.Context,
    request_id: Annotated[str, typer.Argument(metavar="REQUEST")],
    as_json: Json = False,
) -> None:
    """Explain what happened to a change or a non-idempotent request by its request ID.

    Example: hyssopway explain request REQUEST
    """
    _explain(context, kind="request", name=request_id, as_json=as_json)


def _explain(context: typer.Context, *, kind: str, name: str, as_json: bool) -> None:
    data: dict[str, Any] = operator_client(context).read(route_path("explain", kind, name))
    if as_json:
        write_json(data)
        return
    history = data.pop("history", [])
    write_fields(data)
    for line in history:
        write_line(f"  {line}")


__all__ = ["app"]

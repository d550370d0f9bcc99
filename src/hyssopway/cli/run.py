"""Entry point of the command line."""

import os
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import Annotated, Any

import typer

from . import (
    document_commands,
    explain_commands,
    fleet_commands,
    job_commands,
    key_commands,
    member_commands,
    status_commands,
    vm_commands,
    wave_commands,
    zone_commands,
)
from .client_options import ClientOptions, load_profile
from .command_error import CommandError
from .exit_status import ExitStatus

app = typer.Typer(
    name="hyssopway",
    help="Fleet capacity and maintenance manager.",
    no_args_is_help=True,
    pretty_exceptions_enable=False,
    context_settings={"help_option_names": ["-h", "--help"]},
)

for _command in (
    document_commands.check,
    document_commands.trial,
    document_commands.promote,
    document_commands.history,
    document_commands.diff,
    fleet_commands.pools,
    fleet_commands.teams,
    status_commands.status,
    status_commands.dump,
):
    app.command()(_command)
app.add_typer(key_commands.app, name="keys")
app.add_typer(zone_commands.app, name="zones")
app.add_typer(vm_commands.app, name="vms")
app.add_typer(job_commands.app, name="jobs")
app.add_typer(wave_commands.app, name="waves")
app.add_typer(member_commands.app, name="members")
app.add_typer(explain_commands.app, name="explain")


@app.callback()
def read_global_options(
    context: typer.Context,
    entry: Annotated[
        list[str] | None,
        typer.Option(
            "--entry",
            metavar="URL",
            envvar="HYSSOPWAY_ENTRIES",
            help="URL of an entry VM; repeat for several, or separate by spaces in the environment variable.",
        ),
    ] = None,
    token: Annotated[str, typer.Option("--token", envvar="HYSSOPWAY_TOKEN", help="Operators' token.")] = "",
    key: Annotated[str, typer.Option("--key", envvar="HYSSOPWAY_KEY", help="Team's key.")] = "",
    operator: Annotated[
        str,
        typer.Option(
            "--operator", envvar="HYSSOPWAY_OPERATOR", help="Operator name that is recorded with changes."
        ),
    ] = "",
    authority: Annotated[
        str,
        typer.Option(
            "--authority",
            envvar="HYSSOPWAY_AUTHORITY",
            help="PEM file with the CA certificates that verify entry VMs.",
        ),
    ] = "",
    timeout: Annotated[
        float,
        typer.Option(
            "--timeout",
            metavar="S",
            min=0.0,
            help="Timeout for one entry VM in seconds, 10 by default.",
            show_default=False,
        ),
    ] = 0.0,
    profile: Annotated[
        Path | None,
        typer.Option(
            "--profile", metavar="FILE", envvar="HYSSOPWAY_PROFILE", help="YAML file with these options."
        ),
    ] = None,
) -> None:
    """Fleet capacity and maintenance manager.

    Example: hyssopway --entry http://127.0.1.1:8080 --token example-operator-token status
    """
    profile_values = load_profile(profile) if profile is not None else {}
    overrides: dict[str, Any] = {
        "entries": entry,
        "token": token,
        "key": key,
        "operator": operator,
        "authority": authority,
        "timeout_s": timeout,
    }
    defaults = {"entries": [], "operator": os.environ.get("USER", "")} | profile_values
    context.obj = ClientOptions(**(defaults | {name: value for name, value in overrides.items() if value}))
    invalid_urls = [url for url in context.obj.entries if not url.startswith(("http://", "https://"))]
    if invalid_urls:
        message = f"entry VMs must be http or https URLs, not {', '.join(map(repr, invalid_urls))}"
        raise CommandError(status=ExitStatus.USAGE, message=message)


def main(arguments: Sequence[str] | None = None) -> int:
    """Runs one command and returns its exit status."""
    try:
        app(args=list(arguments) if arguments is not None else None, prog_name="hyssopway")
    except CommandError as error:
        sys.stderr.write(f"hyssopway: {error.message}\n")
        return int(error.status)
    except SystemExit as stop:
        return stop.code if isinstance(stop.code, int) else int(stop.code is not None)
    except BrokenPipeError:
        # The reader closed the pipe. Python flushes stdout again at exit and would report the same error.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
    return int(ExitStatus.OK)


if __name__ == "__main__":
    sys.exit(main())

__all__ = ["app", "main"]

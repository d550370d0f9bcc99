"""Command line entry point of the daemon."""

from __future__ import annotations

import asyncio
import json
import signal
import sys
from pathlib import Path
from typing import TYPE_CHECKING, Annotated

import capnp
import typer
from expression import Result
from pydantic_core import to_json

from hyssopway.agreement import LogDamagedError, StorageError
from hyssopway.daemon import Daemon
from hyssopway.event import Event, log_event, set_up_logging
from hyssopway.settings import load_settings

if TYPE_CHECKING:
    from collections.abc import Sequence

    from hyssopway.settings import DaemonSettings

EXIT_OK = 0
EXIT_BAD_SETTINGS = 64
EXIT_STORAGE = 74


app = typer.Typer(add_completion=False, pretty_exceptions_enable=False)


@app.command()
def run(
    *,
    settings: Annotated[Path, typer.Option("--settings", metavar="FILE", help="Settings in YAML.")],
    initialise: Annotated[
        bool,
        typer.Option(
            "--initialise",
            help="Start a new group of control members if the data folder is empty; only for a new deployment.",
        ),
    ] = False,
) -> None:
    """Fleet capacity and maintenance daemon; runs until it is told to stop."""
    raise typer.Exit(_serve(path=settings, initialise=initialise))


def main(arguments: Sequence[str] | None = None) -> int:
    """Runs the daemon until it is told to stop.

    Returns:
        Exit status: 0 after a graceful stop, 2 for wrong options, 64 for bad settings, 74 for a data folder
        that cannot be used.
    """
    try:
        app(args=None if arguments is None else list(arguments), prog_name="hyssopwayd")
    except SystemExit as stop:
        return stop.code if isinstance(stop.code, int) else int(stop.code is not None)
    return EXIT_OK


class AddressError(Exception):
    """An address in the settings cannot be used."""


def _serve(*, path: Path, initialise: bool) -> int:
    match load_settings(path):
        case Result(tag="ok", ok=settings):
            pass
        case Result(error=problems):
            for problem in problems:
                print(problem, file=sys.stderr)  # noqa: T201  logging is not set up yet
            return EXIT_BAD_SETTINGS
    set_up_logging(level=settings.log_level, json_output=settings.log_json)
    try:
        asyncio.run(capnp.run(_run(settings=settings, path=path, initialise=initialise)))
    except (LogDamagedError, StorageError) as error:
        log_event(Event.STORAGE_FAILED, error=str(error))
        return EXIT_STORAGE
    except AddressError as error:
        log_event(Event.SETTINGS_REJECTED, problem=f"{path}: peers: {error}")
        return EXIT_BAD_SETTINGS
    return EXIT_OK


async def _run(*, settings: DaemonSettings, path: Path, initialise: bool) -> None:
    daemon = Daemon(settings=settings, initialise=initialise)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    loop.add_signal_handler(signal.SIGUSR1, _write_dump, daemon)
    loop.add_signal_handler(signal.SIGHUP, daemon.reload, path)
    try:
        await daemon.start()
    except OSError as error:
        raise AddressError(str(error)) from error
    await stop.wait()
    await daemon.stop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        # Otherwise a second signal after the end of the event loop would turn the exit status of a graceful
        # stop into -15.
        loop.remove_signal_handler(signal_number)
        signal.signal(signal_number, signal.SIG_IGN)


def _write_dump(daemon: Daemon) -> None:
    path = Path(daemon.settings.dump_dir) / f"{daemon.settings.name}.dump.json"
    path.write_text(json.dumps(json.loads(to_json(daemon.dump(), inf_nan_mode="null")), indent=2))
    log_event(Event.STATE_DUMPED, path=str(path))


if __name__ == "__main__":
    sys.exit(main())

__all__ = ["main"]

"""Commands of teams about their jobs."""

import time
from pathlib import Path
from typing import TYPE_CHECKING, Annotated, Any

import typer

from .access import team_connection
from .command_error import CommandError
from .exit_status import ExitStatus
from .options import After, Json, Limit, RequestId
from .output import format_time, write_fields, write_json, write_line, write_next, write_note, write_table
from .route_path import list_path, route_path

if TYPE_CHECKING:
    from .connection import Connection

POLL_S = 0.2
ENDED = frozenset({"done", "failed", "cancelled", "cannot_run"})

app = typer.Typer(help="Submit, cancel, show and list jobs; needs a team's key.", no_args_is_help=True)

JobId = Annotated[str, typer.Argument(metavar="JOB")]


@app.command()
def submit(
    context: typer.Context,
    file: Annotated[
        Path | None, typer.Argument(metavar="[FILE]", help="Job in YAML; options override its fields.")
    ] = None,
    kind: Annotated[str | None, typer.Option("--kind", help="Kind of task.")] = None,
    pool: Annotated[str | None, typer.Option("--pool", help="Pool that runs it.")] = None,
    cores: Annotated[float | None, typer.Option("--cores", min=0)] = None,
    memory_gb: Annotated[float | None, typer.Option("--memory-gb", min=0)] = None,
    accelerators: Annotated[int | None, typer.Option("--accelerators", min=0)] = None,
    run_s: Annotated[float | None, typer.Option("--run-s", min=0, help="Declared run time.")] = None,
    arguments: Annotated[str | None, typer.Option("--arguments", help="Passed to the worker.")] = None,
    urgent: Annotated[bool, typer.Option("--urgent", help="Start before all other work.")] = False,
    checkpointable: Annotated[bool, typer.Option("--checkpointable")] = False,
    request_id: RequestId = "",
    wait: Annotated[bool, typer.Option("--wait", help="Wait until the job ends.")] = False,
    wait_timeout: Annotated[float, typer.Option("--wait-timeout", metavar="S", min=0.1)] = 3600,
    as_json: Json = False,
) -> None:
    """Submit a job; its id is printed once the job is durable.

    Example: hyssopway jobs submit --kind plan --pool restock --cores 4 --memory-gb 8 --wait
    """
    spec = _read_spec(file)
    given: dict[str, Any] = {"task_kind": kind, "pool": pool, "run_s": run_s, "arguments": arguments}
    given |= {"urgent": urgent or None, "checkpointable": checkpointable or None}
    needs: dict[str, Any] = {"cores": cores, "memory_gb": memory_gb, "accelerators": accelerators}
    spec |= {name: value for name, value in given.items() if value is not None}
    spec["resources"] = spec.get("resources", {}) | {
        name: value for name, value in needs.items() if value is not None
    }
    connection = team_connection(context)
    job = connection.change("POST", "/v1/jobs", spec, request_id=request_id)
    if wait:
        job = _wait_for_end(connection, job_id=job["job_id"], timeout_s=wait_timeout)
    _write_job(job, as_json=as_json)
    if wait and job["status"] != "done":
        raise CommandError(status=ExitStatus.REFUSED, message=f"job {job['job_id']} is {job['status']}")


@app.command()
def cancel(
    context: typer.Context,
    jobs: Annotated[list[str], typer.Argument(metavar="JOB...", help="Jobs of the team.")],
    request_id: RequestId = "",
) -> None:
    """Cancel jobs; many are cancelled by one change.

    Example: hyssopway jobs cancel JOB
    """
    connection = team_connection(context)
    if len(jobs) == 1:
        write_fields(connection.change("DELETE", _path(jobs[0]), request_id=request_id))
        return
    body = {"job_ids": jobs}
    found = connection.change("POST", "/v1/jobs/cancel", body, request_id=request_id)["jobs"]
    write_table(columns=("job", "status"), rows=[(job, found.get(job, "unknown")) for job in jobs])
    unknown = [job for job in jobs if job not in found]
    if unknown:
        message = f"{len(unknown)} of {len(jobs)} jobs do not exist or belong to another team"
        raise CommandError(status=ExitStatus.REFUSED, message=message)


@app.command()
def show(context: typer.Context, job: JobId, as_json: Json = False) -> None:
    """Show one job.

    Example: hyssopway jobs show JOB
    """
    data = team_connection(context).read(_path(job))
    if as_json:
        write_json(data)
    else:
        write_fields(data)


@app.command("list")
def list_jobs(
    context: typer.Context,
    status: Annotated[str, typer.Option("--status", help="Only jobs with this status.")] = "",
    limit: Limit = 0,
    after: After = "",
    as_json: Json = False,
) -> None:
    """List the jobs of the team in the order in which they were accepted.

    Example: hyssopway jobs list --status running --limit 100
    """
    path = list_path("jobs", status=status, limit=limit, after=after)
    data = team_connection(context).read(path)
    if as_json:
        write_json(data)
        return
    rows = [
        (
            job["job_id"],
            job["spec"]["task_kind"],
            job["spec"]["pool"],
            job["status"],
            job["run"]["vm"] if job.get("run") else "",
            format_time(job.get("accepted_ms")),
        )
        for job in data["jobs"]
    ]
    write_table(columns=("job", "kind", "pool", "status", "VM", "accepted"), rows=rows)
    write_next(data.get("next"))


def _read_spec(file: Path | None) -> dict[str, Any]:
    if file is None:
        return {}
    import yaml

    try:
        data = yaml.safe_load(file.read_text(encoding="utf-8"))
    except (OSError, ValueError, yaml.YAMLError) as error:
        message = f"{file}: {' '.join(str(error).split())}"
        raise CommandError(status=ExitStatus.BAD_FILE, message=message) from error
    if not isinstance(data, dict) or not isinstance(data.get("resources", {}), dict):
        message = f"{file}: found {type(data).__name__}; allowed: a mapping with the fields of a job"
        raise CommandError(status=ExitStatus.BAD_FILE, message=message)
    return data


def _wait_for_end(connection: "Connection", *, job_id: str, timeout_s: float) -> dict[str, Any]:
    deadline = time.monotonic() + timeout_s
    shown = ""
    while True:
        job: dict[str, Any] = connection.read(_path(job_id))
        if job["status"] != shown:
            shown = job["status"]
            write_note(f"job {job_id} is {shown}")
        if shown in ENDED:
            return job
        if time.monotonic() > deadline:
            message = f"job {job_id} is still {shown} after {timeout_s:g} s"
            raise CommandError(status=ExitStatus.WAIT_INCOMPLETE, message=message)
        time.sleep(POLL_S)


def _write_job(job: dict[str, Any], *, as_json: bool) -> None:
    if as_json:
        write_json(job)
    else:
        write_line(job["job_id"])


def _path(job_id: str) -> str:
    return route_path("jobs", job_id)


__all__ = ["app"]

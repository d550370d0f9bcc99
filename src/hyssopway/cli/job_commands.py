"""Commands with which a team submits, cancels, shows and lists its jobs."""

import time
from pathlib import Path
from typing import TYPE_CHECKING, Annotated, Any

import typer

from .access import team_client
from .command_error import CommandError
from .exit_status import ExitStatus
from .options import After, Json, Limit, RequestId
from .output import (
    format_time,
    write_diagnostic,
    write_fields,
    write_json,
    write_line,
    write_next_page_hint,
    write_table,
)
from .route_path import list_path, route_path

if TYPE_CHECKING:
    from .api_client import ApiClient

POLL_INTERVAL_S = 0.2
TERMINAL_STATUSES = frozenset({"done", "failed", "cancelled", "cannot_run"})

app = typer.Typer(help="Submit, cancel, show and list jobs; needs a team's key.", no_args_is_help=True)

JobId = Annotated[str, typer.Argument(metavar="JOB")]


@app.command()
def submit(
    context: typer.Context,
    file: Annotated[
        Path | None, typer.Argument(metavar="[FILE]", help="Job spec in YAML; options override its fields.")
    ] = None,
    kind: Annotated[str | None, typer.Option("--kind", help="Task kind.")] = None,
    pool: Annotated[str | None, typer.Option("--pool", help="Pool that runs the job.")] = None,
    cores: Annotated[float | None, typer.Option("--cores", min=0)] = None,
    memory_gb: Annotated[float | None, typer.Option("--memory-gb", min=0)] = None,
    accelerators: Annotated[int | None, typer.Option("--accelerators", min=0)] = None,
    run_s: Annotated[
        float | None, typer.Option("--run-s", min=0, help="Declared run duration in seconds.")
    ] = None,
    arguments: Annotated[
        str | None, typer.Option("--arguments", help="Arguments passed to the worker.")
    ] = None,
    urgent: Annotated[
        bool, typer.Option("--urgent", help="Start before all jobs that are not urgent.")
    ] = False,
    checkpointable: Annotated[bool, typer.Option("--checkpointable")] = False,
    request_id: RequestId = "",
    wait: Annotated[bool, typer.Option("--wait", help="Wait until the job ends.")] = False,
    wait_timeout: Annotated[float, typer.Option("--wait-timeout", metavar="S", min=0.1)] = 3600,
    as_json: Json = False,
) -> None:
    """Submit a job; its ID is printed once the job is stored durably.

    Example: hyssopway jobs submit --kind plan --pool restock --cores 4 --memory-gb 8 --wait
    """
    spec = _read_spec(file)
    overrides: dict[str, Any] = {"task_kind": kind, "pool": pool, "run_s": run_s, "arguments": arguments}
    overrides |= {"urgent": urgent or None, "checkpointable": checkpointable or None}
    resource_overrides: dict[str, Any] = {
        "cores": cores,
        "memory_gb": memory_gb,
        "accelerators": accelerators,
    }
    spec |= {name: value for name, value in overrides.items() if value is not None}
    spec["resources"] = spec.get("resources", {}) | {
        name: value for name, value in resource_overrides.items() if value is not None
    }
    client = team_client(context)
    job = client.change("POST", "/v1/jobs", spec, request_id=request_id)
    if wait:
        job = _wait_until_ended(client, job_id=job["job_id"], timeout_s=wait_timeout)
    _write_job(job, as_json=as_json)
    if wait and job["status"] != "done":
        raise CommandError(status=ExitStatus.REFUSED, message=f"job {job['job_id']} is {job['status']}")


@app.command()
def cancel(
    context: typer.Context,
    jobs: Annotated[list[str], typer.Argument(metavar="JOB...", help="IDs of jobs of the team.")],
    request_id: RequestId = "",
) -> None:
    """Cancel jobs; several jobs are cancelled in a single request.

    Example: hyssopway jobs cancel JOB
    """
    client = team_client(context)
    if len(jobs) == 1:
        write_fields(client.change("DELETE", _job_path(jobs[0]), request_id=request_id))
        return
    body = {"job_ids": jobs}
    statuses = client.change("POST", "/v1/jobs/cancel", body, request_id=request_id)["jobs"]
    write_table(columns=("job", "status"), rows=[(job, statuses.get(job, "unknown")) for job in jobs])
    unknown = [job for job in jobs if job not in statuses]
    if unknown:
        message = f"{len(unknown)} of {len(jobs)} jobs do not exist or belong to another team"
        raise CommandError(status=ExitStatus.REFUSED, message=message)


@app.command()
def show(context: typer.Context, job: JobId, as_json: Json = False) -> None:
    """Show one job.

    Example: hyssopway jobs show JOB
    """
    data = team_client(context).read(_job_path(job))
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
    """List the jobs of the team in order of acceptance.

    Example: hyssopway jobs list --status running --limit 100
    """
    path = list_path("jobs", status=status, limit=limit, after=after)
    data = team_client(context).read(path)
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
    write_next_page_hint(data.get("next"))


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


def _wait_until_ended(client: "ApiClient", *, job_id: str, timeout_s: float) -> dict[str, Any]:
    deadline = time.monotonic() + timeout_s
    last_status = ""
    while True:
        job: dict[str, Any] = client.read(_job_path(job_id))
        if job["status"] != last_status:
            last_status = job["status"]
            write_diagnostic(f"job {job_id} is {last_status}")
        if last_status in TERMINAL_STATUSES:
            return job
        if time.monotonic() > deadline:
            message = f"job {job_id} is still {last_status} after {timeout_s:g} s"
            raise CommandError(status=ExitStatus.WAIT_INCOMPLETE, message=message)
        time.sleep(POLL_INTERVAL_S)


def _write_job(job: dict[str, Any], *, as_json: bool) -> None:
    if as_json:
        write_json(job)
    else:
        write_line(job["job_id"])


def _job_path(job_id: str) -> str:
    return route_path("jobs", job_id)


__all__ = ["app"]

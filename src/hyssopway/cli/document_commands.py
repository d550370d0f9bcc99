"""Commands that validate, promote and compare environment documents."""

import difflib
import hashlib
import json
from pathlib import Path
from typing import TYPE_CHECKING, Annotated, Any

import typer

from .access import operator_client
from .command_error import CommandError
from .document_review import review_document
from .exit_status import ExitStatus
from .file_validation import validate_file
from .options import Json, RequestId, Wait, WaitTimeout
from .output import format_time, write_diagnostic, write_json, write_line, write_table
from .route_path import route_path
from .waiting import wait_until_active

if TYPE_CHECKING:
    from .api_client import ApiClient

DIGEST_LENGTH = 64

Environment = Annotated[str, typer.Option("--environment", "-e", help="Environment: trial or production.")]
ExpectedGeneration = Annotated[
    int | None,
    typer.Option(
        "--expect",
        metavar="GENERATION",
        help="Refuse unless this generation is active; the current one by default.",
    ),
]


def check(
    context: typer.Context,
    files: Annotated[list[Path], typer.Argument(metavar="FILE...", help="Documents or daemon settings.")],
    kind: Annotated[
        str, typer.Option("--kind", help="document or settings; detected from the content by default.")
    ] = "",
    against_active: Annotated[
        bool,
        typer.Option(
            "--against-active",
            help="Also check one document against the fleet, and compare it with the active one.",
        ),
    ] = False,
    environment: Environment = "production",
    as_json: Json = False,
) -> None:
    """Validate documents and settings files locally; with --against-active also against the deployment.

    Example: hyssopway check document.yaml settings/nashua-1.yaml
    """
    if kind not in ("", "document", "settings"):
        raise CommandError(
            status=ExitStatus.USAGE, message=f"--kind is {kind!r}; allowed: document, settings"
        )
    if against_active:
        _check_against_active(context, files=files, kind=kind, environment=environment, as_json=as_json)
        return
    problems = [problem for file in files for problem in validate_file(file, kind=kind)]
    if as_json:
        write_json({"problems": problems})
    for problem in problems if not as_json else []:
        write_diagnostic("{file}: {path}: found {found}; allowed: {allowed}".format_map(problem))
    if problems:
        message = f"{len(problems)} problem{'s' if len(problems) > 1 else ''} found"
        raise CommandError(status=ExitStatus.BAD_FILE, message=message)
    if not as_json:
        write_line(f"{len(files)} file{'s' if len(files) > 1 else ''} checked, no problems")


def _check_against_active(
    context: typer.Context, *, files: list[Path], kind: str, environment: str, as_json: bool
) -> None:
    if len(files) != 1 or kind == "settings":
        raise CommandError(status=ExitStatus.USAGE, message="--against-active takes exactly one document")
    review = review_document(operator_client(context), file=files[0], environment=environment)
    problems, differences = review["problems"], review["differences"]
    if as_json:
        write_json(review)
    for problem in problems if not as_json else []:
        path = problem["path"] or "(top)"
        write_diagnostic(
            "{file}:{line}: {path}: found {found}; allowed: {allowed}".format_map(problem | {"path": path})
        )
    for one in differences if not as_json else []:
        write_line(f"{one['path']}: {json.dumps(one['old'])} -> {json.dumps(one['new'])}")
    if problems:
        message = f"{len(problems)} problem{'s' if len(problems) > 1 else ''} found"
        raise CommandError(status=ExitStatus.BAD_FILE, message=message)
    if not as_json:
        count = f"{len(differences)} difference{'s' if len(differences) != 1 else ''}"
        write_line(f"no problems, {count} from {environment} generation {review['active']['generation']}")


def trial(
    context: typer.Context,
    file: Annotated[Path, typer.Argument(metavar="FILE", help="The document.")],
    expect: ExpectedGeneration = None,
    request_id: RequestId = "",
    wait: Wait = False,
    wait_timeout: WaitTimeout = 16,
) -> None:
    """Activate a document in the trial environment.

    Example: hyssopway trial document.yaml
    """
    client = operator_client(context)
    text = _read_text(file)
    generation = _read_generation(client, environment="trial") if expect is None else expect
    body = {"text": text, "expected_generation": generation}
    outcome = client.change(
        "POST", "/v1/documents/trial", body, request_id=request_id, retry_options=f"--expect {generation}"
    )
    write_line(f"trial generation {outcome['generation']}, digest {outcome['reference']}")
    if wait:
        wait_until_active(client, index=outcome["index"], timeout_s=wait_timeout)


def promote(
    context: typer.Context,
    document: Annotated[
        str, typer.Argument(metavar="DIGEST|FILE", help="Digest, prefix of a digest, or the file.")
    ],
    expect: ExpectedGeneration = None,
    request_id: RequestId = "",
    wait: Wait = False,
    wait_timeout: WaitTimeout = 16,
) -> None:
    """Promote a document from trial to production.

    Example: hyssopway promote document.yaml --wait
    """
    client = operator_client(context)
    digest = _resolve_digest(client, document)
    generation = _read_generation(client, environment="production") if expect is None else expect
    body = {"digest": digest, "expected_generation": generation}
    outcome = client.change(
        "POST",
        "/v1/documents/production",
        body,
        request_id=request_id,
        retry_options=f"--expect {generation}",
    )
    write_line(f"production generation {outcome['generation']}, digest {outcome['reference']}")
    if wait:
        wait_until_active(client, index=outcome["index"], timeout_s=wait_timeout)


def history(context: typer.Context, environment: Environment = "production", as_json: Json = False) -> None:
    """List the documents of an environment, newest first.

    Example: hyssopway history --environment trial
    """
    data = operator_client(context).read(route_path("documents", environment, "history"))
    if as_json:
        write_json(data)
        return
    rows = [
        (item["generation"], item["digest"][:12], item["operator"], format_time(item["at_ms"]))
        for item in data["documents"]
    ]
    write_table(columns=("generation", "digest", "operator", "since"), rows=rows)


def diff(
    context: typer.Context,
    file: Annotated[
        Path | None,
        typer.Argument(metavar="FILE", help="New document; the active trial document by default."),
    ] = None,
    environment: Environment = "production",
    as_json: Json = False,
) -> None:
    """Show how a document differs from the active one.

    Example: hyssopway diff document.yaml
    """
    client = operator_client(context)
    old = _read_active_text(client, environment=environment)
    if file is None:
        new, name = _read_active_text(client, environment="trial"), "trial"
    else:
        new, name = _read_text(file), str(file)
    lines = difflib.unified_diff(
        old.splitlines(), new.splitlines(), fromfile=environment, tofile=name, lineterm=""
    )
    if as_json:
        write_json({"from": environment, "to": name, "lines": list(lines)})
        return
    for line in lines:
        write_line(line)


def _read_text(file: Path) -> str:
    try:
        return file.read_bytes().decode("utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise CommandError(status=ExitStatus.BAD_FILE, message=f"{file}: {error}") from error


def _read_documents(client: "ApiClient", *, environment: str) -> list[dict[str, Any]]:
    documents: list[dict[str, Any]] = client.read(route_path("documents", environment, "history"))[
        "documents"
    ]
    return documents


def _read_generation(client: "ApiClient", *, environment: str) -> int:
    documents = _read_documents(client, environment=environment)
    return int(documents[0]["generation"]) if documents else 0


def _read_active_text(client: "ApiClient", *, environment: str) -> str:
    documents = _read_documents(client, environment=environment)
    return str(documents[0]["text"]) if documents else ""


def _resolve_digest(client: "ApiClient", document: str) -> str:
    if Path(document).is_file():
        return hashlib.sha256(Path(document).read_bytes()).hexdigest()
    if len(document) >= DIGEST_LENGTH:
        return document
    trial_documents = _read_documents(client, environment="trial")
    matches = {str(item["digest"]) for item in trial_documents if item["digest"].startswith(document)}
    if len(matches) == 1:
        return matches.pop()
    reason = (
        "several trial documents match this prefix" if matches else "no trial document matches this prefix"
    )
    message = f"{document!r} is neither a file nor a digest: {reason}; see `hyssopway history -e trial`"
    raise CommandError(status=ExitStatus.USAGE, message=message)


__all__ = ["check", "diff", "history", "promote", "trial"]

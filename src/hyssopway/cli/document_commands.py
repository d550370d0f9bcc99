"""Commands about environment documents."""

import difflib
import hashlib
from pathlib import Path
from typing import TYPE_CHECKING, Annotated, Any

import typer

from .access import operator_connection
from .checking import check_file
from .command_error import CommandError
from .exit_status import ExitStatus
from .options import Json, RequestId, Wait, WaitSeconds
from .output import format_time, write_json, write_line, write_note, write_table
from .route_path import route_path
from .waiting import wait_in_force

if TYPE_CHECKING:
    from .connection import Connection

DIGEST_CHARACTERS = 64

Environment = Annotated[str, typer.Option("--environment", "-e", help="trial or production.")]
Expect = Annotated[
    int | None,
    typer.Option(
        "--expect", metavar="GENERATION", help="Refuse unless this generation is in force; read by default."
    ),
]


def check(
    files: Annotated[list[Path], typer.Argument(metavar="FILE...", help="Documents or daemon settings.")],
    kind: Annotated[
        str, typer.Option("--kind", help="document or settings; found from the content by default.")
    ] = "",
    as_json: Json = False,
) -> None:
    """Check documents and settings files without a server.

    Example: hyssopway check document.yaml settings/nashua-1.yaml
    """
    if kind not in ("", "document", "settings"):
        raise CommandError(
            status=ExitStatus.USAGE, message=f"--kind is {kind!r}; allowed: document, settings"
        )
    found = [problem for file in files for problem in check_file(file, kind=kind)]
    if as_json:
        write_json({"problems": found})
    for problem in found if not as_json else []:
        write_note("{file}: {path}: found {found}; allowed: {allowed}".format_map(problem))
    if found:
        message = f"{len(found)} problem{'s' if len(found) > 1 else ''} found"
        raise CommandError(status=ExitStatus.BAD_FILE, message=message)
    if not as_json:
        write_line(f"{len(files)} file{'s' if len(files) > 1 else ''} checked, no problems")


def trial(
    context: typer.Context,
    file: Annotated[Path, typer.Argument(metavar="FILE", help="The document.")],
    expect: Expect = None,
    request_id: RequestId = "",
    wait: Wait = False,
    wait_timeout: WaitSeconds = 16,
) -> None:
    """Put a document into the trial environment.

    Example: hyssopway trial document.yaml
    """
    connection = operator_connection(context)
    text = _read_text(file)
    generation = _read_generation(connection, environment="trial") if expect is None else expect
    body = {"text": text, "expected_generation": generation}
    outcome = connection.change(
        "POST", "/v1/documents/trial", body, request_id=request_id, resend=f"--expect {generation}"
    )
    write_line(f"trial generation {outcome['generation']}, digest {outcome['reference']}")
    if wait:
        wait_in_force(connection, index=outcome["index"], timeout_s=wait_timeout)


def promote(
    context: typer.Context,
    document: Annotated[str, typer.Argument(metavar="DIGEST|FILE", help="Digest, its start, or the file.")],
    expect: Expect = None,
    request_id: RequestId = "",
    wait: Wait = False,
    wait_timeout: WaitSeconds = 16,
) -> None:
    """Promote a tried document to production.

    Example: hyssopway promote document.yaml --wait
    """
    connection = operator_connection(context)
    digest = _find_digest(connection, document)
    generation = _read_generation(connection, environment="production") if expect is None else expect
    body = {"digest": digest, "expected_generation": generation}
    outcome = connection.change(
        "POST", "/v1/documents/production", body, request_id=request_id, resend=f"--expect {generation}"
    )
    write_line(f"production generation {outcome['generation']}, digest {outcome['reference']}")
    if wait:
        wait_in_force(connection, index=outcome["index"], timeout_s=wait_timeout)


def history(context: typer.Context, environment: Environment = "production", as_json: Json = False) -> None:
    """List the documents of an environment, the latest first.

    Example: hyssopway history --environment trial
    """
    data = operator_connection(context).read(route_path("documents", environment, "history"))
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
        Path | None, typer.Argument(metavar="FILE", help="New document; the trial document by default.")
    ] = None,
    environment: Environment = "production",
    as_json: Json = False,
) -> None:
    """Show how a document differs from the one in force.

    Example: hyssopway diff document.yaml
    """
    connection = operator_connection(context)
    old = _read_stored(connection, environment=environment)
    if file is None:
        new, name = _read_stored(connection, environment="trial"), "trial"
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


def _read_documents(connection: "Connection", *, environment: str) -> list[dict[str, Any]]:
    documents: list[dict[str, Any]] = connection.read(route_path("documents", environment, "history"))[
        "documents"
    ]
    return documents


def _read_generation(connection: "Connection", *, environment: str) -> int:
    documents = _read_documents(connection, environment=environment)
    return int(documents[0]["generation"]) if documents else 0


def _read_stored(connection: "Connection", *, environment: str) -> str:
    documents = _read_documents(connection, environment=environment)
    return str(documents[0]["text"]) if documents else ""


def _find_digest(connection: "Connection", document: str) -> str:
    if Path(document).is_file():
        return hashlib.sha256(Path(document).read_bytes()).hexdigest()
    if len(document) >= DIGEST_CHARACTERS:
        return document
    tried = _read_documents(connection, environment="trial")
    matches = {str(item["digest"]) for item in tried if item["digest"].startswith(document)}
    if len(matches) == 1:
        return matches.pop()
    reason = "several tried documents start with it" if matches else "no tried document starts with it"
    message = f"{document!r} is neither a file nor a digest: {reason}; see `hyssopway history -e trial`"
    raise CommandError(status=ExitStatus.USAGE, message=message)


__all__ = ["check", "diff", "history", "promote", "trial"]

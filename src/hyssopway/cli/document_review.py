"""Reviews a document against the fleet and the document that is active."""

from __future__ import annotations

from dataclasses import asdict
from typing import TYPE_CHECKING, Any

from .file_validation import validate_file
from .route_path import route_path

if TYPE_CHECKING:
    from pathlib import Path

    from .api_client import ApiClient

VMS_PER_PAGE = 1000


def review_document(client: ApiClient, *, file: Path, environment: str) -> dict[str, Any]:
    """Returns the problems of a document with their lines, and its differences from the active one.

    A document with errors has no other findings and no differences, because it cannot be interpreted.
    """
    from hyssopway.document import parse_document
    from hyssopway.document.differences import compare_documents
    from hyssopway.document.review import find_contradictions, find_unmatched_items

    history = client.read(route_path("documents", environment, "history"))["documents"]
    active = {"environment": environment, "generation": int(history[0]["generation"]) if history else 0}
    problems = validate_file(file, kind="document")
    if problems:
        return {"active": active, "problems": _with_lines(problems, file=file), "differences": []}
    document = parse_document(text=file.read_text(encoding="utf-8"), file=str(file)).ok
    old = parse_document(text=str(history[0]["text"]), file="active") if history else None
    vms = _read_vms(client)
    findings = [
        *find_contradictions(document=document, file=str(file)),
        *find_unmatched_items(
            document=document,
            file=str(file),
            vm_zones={vm["zone"] for vm in vms},
            vm_pools={vm["pool"] for vm in vms},
        ),
    ]
    # An active document that this release refuses counts as absent, so that every field is listed.
    differences = compare_documents(old=old.ok if old is not None and old.is_ok() else None, new=document)
    return {
        "active": active,
        "problems": _with_lines([asdict(finding) for finding in findings], file=file),
        "differences": [asdict(difference) for difference in differences],
    }


def _read_vms(client: ApiClient) -> list[dict[str, Any]]:
    vms: list[dict[str, Any]] = []
    after = ""
    while True:
        page = client.read(f"/v1/vms?limit={VMS_PER_PAGE}" + (f"&after={after}" if after else ""))
        vms += [item["vm"] for item in page["vms"]]
        after = page.get("next") or ""
        if not after:
            return vms


def _with_lines(problems: list[dict[str, str]], *, file: Path) -> list[dict[str, Any]]:
    from hyssopway.document.line_numbers import find_line

    try:
        text = file.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError):
        text = ""  # the problem says why
    return [
        {"file": problem["file"], "line": find_line(text=text, path=problem["path"]), **problem}
        for problem in problems
    ]


__all__ = ["review_document"]

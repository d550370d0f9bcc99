"""Validates documents and settings files locally, without a server."""

from __future__ import annotations

from dataclasses import asdict
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from pathlib import Path

# Fields that exist only in daemon settings, not in documents.
_SETTINGS_FIELDS = frozenset({"peers", "operator_token", "fleet_token", "peer_token", "data_dir"})


def validate_file(file: Path, *, kind: str = "") -> list[dict[str, str]]:
    """Returns all validation errors of a document or settings file.

    Args:
        file: Path of the file to validate.
        kind: `document` or `settings`; detected from the content if empty.
    """
    from expression import Result

    from hyssopway.document import parse_document
    from hyssopway.document.yaml_reading import read_yaml
    from hyssopway.settings import load_settings

    match read_yaml(file):
        case Result(tag="error", error=problems):
            return [asdict(problem) for problem in problems]
        case Result(ok=data):
            pass
    if (kind or _detect_kind(data)) == "settings":
        settings = load_settings(file)
        return [asdict(problem) for problem in settings.error] if settings.is_error() else []
    document = parse_document(text=file.read_bytes().decode("utf-8"), file=str(file))
    return [asdict(problem) for problem in document.error] if document.is_error() else []


def _detect_kind(data: Any) -> str:
    is_settings = isinstance(data, dict) and bool(_SETTINGS_FIELDS & {str(name) for name in data})
    return "settings" if is_settings else "document"


__all__ = ["validate_file"]

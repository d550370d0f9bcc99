"""Checks files without a server."""

from __future__ import annotations

from dataclasses import asdict
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from pathlib import Path

# Fields that only daemon settings have.
_SETTINGS_FIELDS = frozenset({"peers", "operator_token", "fleet_token", "peer_token", "data_dir"})


def check_file(file: Path, *, kind: str = "") -> list[dict[str, str]]:
    """Returns all problems of a document or settings file.

    Args:
        file: The file.
        kind: `document` or `settings`; found from the content when empty.
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
    if (kind or _find_kind(data)) == "settings":
        settings = load_settings(file)
        return [asdict(problem) for problem in settings.error] if settings.is_error() else []
    document = parse_document(text=file.read_bytes().decode("utf-8"), file=str(file))
    return [asdict(problem) for problem in document.error] if document.is_error() else []


def _find_kind(data: Any) -> str:
    is_settings = isinstance(data, dict) and bool(_SETTINGS_FIELDS & {str(name) for name in data})
    return "settings" if is_settings else "document"


__all__ = ["check_file"]

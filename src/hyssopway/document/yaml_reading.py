"""Reading of YAML and validation against data classes."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, TypeVar

import yaml
from expression import Error, Ok, Result
from pydantic import ValidationError

from .problem import Problem
from .strict_loader import StrictLoader

if TYPE_CHECKING:
    from pathlib import Path

    from pydantic import TypeAdapter

T = TypeVar("T")

MAX_FOUND_CHARACTERS = 80


def read_yaml(path: Path) -> Result[Any, list[Problem]]:
    """Reads one YAML file."""
    try:
        return parse_yaml(text=path.read_text(encoding="utf-8"), file=str(path))
    except (OSError, UnicodeDecodeError) as error:
        return Error([Problem(file=str(path), path="", found=str(error), allowed="a readable UTF-8 file")])


def parse_yaml(*, text: str, file: str) -> Result[Any, list[Problem]]:
    """Parses YAML text; problems name `file` as its origin."""
    try:
        return Ok(yaml.load(text, Loader=StrictLoader))  # noqa: S506  a subclass of the safe loader
    except (yaml.YAMLError, ValueError, RecursionError) as error:
        found = " ".join(str(error).split())
        return Error([Problem(file=file, path="", found=found, allowed="valid YAML")])


def validate(*, adapter: TypeAdapter[T], data: Any, file: str) -> Result[T, list[Problem]]:
    """Validates parsed YAML against a data class; unknown fields are problems."""
    try:
        return Ok(adapter.validate_python(data, extra="forbid"))
    except ValidationError as error:
        return Error([_to_problem(detail=detail, file=file) for detail in error.errors()])


def _to_problem(*, detail: Any, file: str) -> Problem:
    path = ".".join(str(part) for part in detail["loc"])
    found = "nothing" if detail["type"].startswith("missing") else repr(detail["input"])
    if path.endswith("_token") and found != "nothing":
        # Problems are logged and printed, so they must not contain secrets.
        found = f"a secret of {len(str(detail['input']))} characters"
    if len(found) > MAX_FOUND_CHARACTERS:
        found = found[:MAX_FOUND_CHARACTERS] + "..."
    is_unknown_field = detail["type"] in ("unexpected_keyword_argument", "extra_forbidden")
    allowed = "no field of this name" if is_unknown_field else detail["msg"]
    return Problem(file=file, path=path, found=found, allowed=allowed)


__all__ = ["parse_yaml", "read_yaml", "validate"]

"""Encodes and decodes small JSON objects.

A member reads its vote and the configuration before it can answer its peers, so this does not wait for pydantic.
"""

from __future__ import annotations

import json
from typing import Any, TypeVar

T = TypeVar("T")


def encode_fields(fields: dict[str, Any]) -> bytes:
    """Encodes fields as a compact JSON object."""
    return json.dumps(fields, separators=(",", ":"), ensure_ascii=False).encode()


def decode_fields(data: bytes) -> dict[str, Any]:
    """Decodes a JSON object.

    Raises:
        ValueError: The data is not a JSON object.
    """
    try:
        fields = json.loads(data)
    except RecursionError as error:
        raise ValueError("the JSON value is nested too deeply") from error
    if not isinstance(fields, dict):
        raise ValueError(f"expected a JSON object, not {type(fields).__name__}")  # noqa: TRY004
    return fields


def read_field(fields: dict[str, Any], name: str, *, kind: type[T], default: T | None = None) -> T:
    """Returns a field of exactly the given type.

    Raises:
        ValueError: The field has another type, or is missing and has no default.
    """
    value = fields.get(name, default)
    if type(value) is not kind:
        raise ValueError(f"{name}: {value!r} is not a {kind.__name__}")
    return value


def read_names(fields: dict[str, Any], name: str) -> tuple[str, ...]:
    """Returns a list of strings; empty if it is missing.

    Raises:
        ValueError: The field is not a list of strings.
    """
    names: list[Any] = read_field(fields, name, kind=list, default=[])
    if not all(type(entry) is str for entry in names):
        raise ValueError(f"{name}: {names!r} is not a list of strings")
    return tuple(names)


__all__ = ["decode_fields", "encode_fields", "read_field", "read_names"]

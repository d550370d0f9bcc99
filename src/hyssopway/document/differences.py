"""Differences between two versions of a document."""

from __future__ import annotations

from dataclasses import asdict, dataclass
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Iterator

    from .environment_document import EnvironmentDocument


@dataclass(frozen=True, slots=True, kw_only=True)
class Difference:
    """A field that differs.

    Attributes:
        path: Path of the field; an item of a list is named by its name, because its position may change.
        old: Value in the old version; None if the field or item is new.
        new: Value in the new version; None if the field or item was removed.
    """

    path: str
    old: Any
    new: Any


def compare_documents(*, old: EnvironmentDocument | None, new: EnvironmentDocument) -> list[Difference]:
    """Returns all differences; a field that is left out equals its default."""
    return list(_compare(_to_mapping(asdict(old)) if old else {}, _to_mapping(asdict(new)), path=()))


def _compare(old: Any, new: Any, *, path: tuple[str, ...]) -> Iterator[Difference]:
    if old == new:
        return
    if not isinstance(old, dict) or not isinstance(new, dict):
        yield Difference(path=".".join(path), old=old, new=new)
        return
    for name in dict.fromkeys((*old, *new)):
        yield from _compare(old.get(name), new.get(name), path=(*path, name))


def _to_mapping(value: Any) -> Any:
    if isinstance(value, dict):
        return {name: _to_mapping(entry) for name, entry in value.items()}
    if isinstance(value, list):
        # The items of all lists are either named objects or names.
        return {
            entry["name"] if isinstance(entry, dict) else str(entry): _to_mapping(entry) for entry in value
        }
    return value


__all__ = ["Difference", "compare_documents"]

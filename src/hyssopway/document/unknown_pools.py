"""Check of pool references in a document that fails validation."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from .problem import Problem

if TYPE_CHECKING:
    from collections.abc import Iterator


def find_unknown_pools(*, data: Any, file: str) -> Iterator[Problem]:
    """Finds services whose pool does not exist, even if other parts of the document are invalid."""
    pools = [item["name"] for item in _list_mappings(data, "pools") if isinstance(item.get("name"), str)]
    for position, service in enumerate(_list_mappings(data, "services")):
        name = service.get("pool")
        if isinstance(name, str) and name not in pools:
            allowed = f"one of {', '.join(pools)}" if pools else "a pool of this document, which has none"
            yield Problem(file=file, path=f"services.{position}.pool", found=repr(name), allowed=allowed)


def _list_mappings(data: Any, name: str) -> list[dict[str, Any]]:
    items = data.get(name) if isinstance(data, dict) else None
    # An item of another type becomes an empty mapping, so that the indexes in paths remain correct.
    return [item if isinstance(item, dict) else {} for item in items] if isinstance(items, list) else []


__all__ = ["find_unknown_pools"]

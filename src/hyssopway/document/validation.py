"""Parsing and validation of environment documents."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

from expression import Error, Ok, Result
from pydantic import TypeAdapter

from .environment_document import EnvironmentDocument
from .problem import Problem
from .unknown_pools import find_unknown_pools
from .yaml_reading import parse_yaml, validate

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

_ADAPTER = TypeAdapter(EnvironmentDocument)


def parse_document(*, text: str, file: str) -> Result[EnvironmentDocument, list[Problem]]:
    """Parses and validates a document; reports all problems at once."""
    match parse_yaml(text=text, file=file):
        case Result(tag="error", error=problems):
            return Error(problems)
        case Result(ok=data):
            pass
    match validate(adapter=_ADAPTER, data=data, file=file):
        case Result(tag="ok", ok=document):
            problems = check_document(document=document, file=file)
            return Error(problems) if problems else Ok(document)
        case Result(error=problems):
            return Error([*problems, *find_unknown_pools(data=data, file=file)])


def check_document(*, document: EnvironmentDocument, file: str) -> list[Problem]:
    """Finds duplicate names, invalid references and conflicting fields of a document."""
    return [
        *_find_duplicates(document=document, file=file),
        *_find_invalid_references(document=document, file=file),
    ]


def digest_document(*, text: str) -> str:
    """Returns the SHA-256 digest that identifies a document from trial to promotion."""
    return hashlib.sha256(text.encode()).hexdigest()


def _find_duplicates(*, document: EnvironmentDocument, file: str) -> Iterator[Problem]:
    names_by_path: dict[str, Iterable[str]] = {
        "zones": document.zones,
        "pools": [pool.name for pool in document.pools],
        "services": [service.name for service in document.services],
        "teams": [team.name for team in document.teams],
    }
    for path, group in names_by_path.items():
        names = list(group)
        for position, name in enumerate(names):
            if name in names[:position]:
                yield Problem(
                    file=file, path=f"{path}.{position}", found=f"{name!r} again", allowed="each name once"
                )


def _find_invalid_references(*, document: EnvironmentDocument, file: str) -> Iterator[Problem]:
    pools = [pool.name for pool in document.pools]
    for position, service in enumerate(document.services):
        if service.pool not in pools:
            yield Problem(
                file=file,
                path=f"services.{position}.pool",
                found=repr(service.pool),
                allowed=f"one of {', '.join(pools)}",
            )
        if service.slots > service.connections:
            yield Problem(
                file=file,
                path=f"services.{position}.slots",
                found=str(service.slots),
                allowed=f"at most connections ({service.connections})",
            )
    if sum(pool.spare for pool in document.pools) > 1:
        yield Problem(file=file, path="pools", found="several spare pools", allowed="at most one spare pool")


__all__ = ["check_document", "digest_document", "parse_document"]

"""Loading and validation of daemon settings."""

from __future__ import annotations

from typing import TYPE_CHECKING

from expression import Error, Ok, Result
from pydantic import TypeAdapter

from hyssopway.document.problem import Problem
from hyssopway.document.yaml_reading import read_yaml, validate

from .daemon_settings import DaemonSettings
from .tls_context import peer_server_context

if TYPE_CHECKING:
    from pathlib import Path

    from .tls_settings import TlsSettings

_ADAPTER = TypeAdapter(DaemonSettings)


def load_settings(path: Path) -> Result[DaemonSettings, list[Problem]]:
    """Reads and validates a settings file; reports all problems at once."""
    match read_yaml(path):
        case Result(tag="error", error=problems):
            return Error(problems)
        case Result(ok=data):
            pass
    match validate(adapter=_ADAPTER, data=data, file=str(path)):
        case Result(tag="ok", ok=settings):
            problems = list(_find_inconsistencies(settings=settings, file=str(path)))
            return Error(problems) if problems else Ok(settings)
        case Result(error=problems):
            return Error(problems)


def _find_inconsistencies(*, settings: DaemonSettings, file: str) -> list[Problem]:
    problems = []
    names = [peer.name for peer in settings.peers]
    if settings.name not in names:
        problems.append(Problem(file=file, path="name", found=settings.name, allowed=f"one of {names}"))
    problems += [
        Problem(file=file, path="peers", found=f"{name} twice", allowed="each name once")
        for name in sorted({name for name in names if names.count(name) > 1})
    ]
    addresses = [(peer.host, port) for peer in settings.peers for port in (peer.http_port, peer.peer_port)]
    duplicates = sorted({address for address in addresses if addresses.count(address) > 1})
    problems += [
        Problem(file=file, path="peers", found=f"{host}:{port} twice", allowed="each address once")
        for host, port in duplicates
    ]
    if settings.name in names and settings.own_address.member and settings.data_dir is None:
        problems.append(
            Problem(file=file, path="data_dir", found="nothing", allowed="a folder, since this is a member")
        )
    return [*problems, *_find_tls_problems(tls=settings.tls, file=file)]


def _find_tls_problems(*, tls: TlsSettings | None, file: str) -> list[Problem]:
    if tls is None:
        return []
    try:
        peer_server_context(tls)
    except (OSError, ValueError) as error:
        found = f"{tls.certificate}, {tls.private_key}, {tls.authority}: {error}"
        allowed = "readable PEM files, the private key fitting the certificate"
        return [Problem(file=file, path="tls", found=found, allowed=allowed)]
    return []


__all__ = ["load_settings"]

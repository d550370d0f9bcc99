"""Which deployment a command talks to."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from .command_error import CommandError
from .exit_status import ExitStatus

if TYPE_CHECKING:
    from pathlib import Path

    from .connection import Connection

_FIELDS = ("entries", "token", "key", "operator", "authority", "timeout_s")


@dataclass(slots=True, kw_only=True)
class Target:
    """Entry VMs and secrets from options, the environment and a profile file.

    Attributes:
        entries: Base URLs of entry VMs.
        token: Token of the operators.
        key: Key of a team.
        operator: Name that changes are recorded under.
        authority: File with the certificates that entry VMs must be signed by.
        timeout_s: Seconds that one entry VM gets.
    """

    entries: list[str]
    token: str = ""
    key: str = ""
    operator: str = ""
    authority: str | None = None
    timeout_s: float = 10.0

    def as_operator(self) -> Connection:
        """Returns a connection that presents the operators' token."""
        return self._connect(secret=self.token, missing="--token, HYSSOPWAY_TOKEN or `token`")

    def as_team(self) -> Connection:
        """Returns a connection that presents a team's key."""
        return self._connect(secret=self.key, missing="--key, HYSSOPWAY_KEY or `key`")

    def _connect(self, *, secret: str, missing: str) -> Connection:
        if not self.entries:
            message = "name entry VMs by --entry, HYSSOPWAY_ENTRIES or `entries` in the profile file"
            raise CommandError(status=ExitStatus.USAGE, message=message)
        if not secret:
            message = f"this command needs {missing} in the profile file"
            raise CommandError(status=ExitStatus.USAGE, message=message)
        from .connection import Connection

        return Connection(
            entries=self.entries,
            secret=secret,
            operator=self.operator,
            timeout_s=self.timeout_s,
            authority=self.authority,
        )


def load_profile(path: Path) -> dict[str, Any]:
    """Reads a profile file.

    Raises:
        CommandError: The file cannot be used; the message names every problem.
    """
    import yaml

    try:
        data = yaml.safe_load(path.read_text(encoding="utf-8")) or {}
    except (OSError, ValueError, yaml.YAMLError) as error:
        found = " ".join(str(error).split())
        raise CommandError(status=ExitStatus.BAD_FILE, message=f"{path}: {found}") from error
    problems = list(_find_problems(data))
    if problems:
        message = "\n".join(f"{path}: {problem}" for problem in problems)
        raise CommandError(status=ExitStatus.BAD_FILE, message=message)
    return dict(data)


def _find_problems(data: Any) -> list[str]:
    if not isinstance(data, dict):
        return [f"(top): found {data!r}; allowed: a mapping of {', '.join(_FIELDS)}"]
    problems = [
        f"{name}: found an unknown field; allowed: {', '.join(_FIELDS)}"
        for name in data
        if name not in _FIELDS
    ]
    entries = data.get("entries", [])
    if not isinstance(entries, list) or not all(_is_url(entry) for entry in entries):
        problems.append(f"entries: found {entries!r}; allowed: a list of http or https URLs")
    problems += [
        f"{name}: found {data[name]!r}; allowed: text"
        for name in ("token", "key", "operator", "authority")
        if name in data and not isinstance(data[name], str)
    ]
    timeout_s = data.get("timeout_s", 1)
    if isinstance(timeout_s, bool) or not isinstance(timeout_s, int | float) or not 0 < timeout_s <= 3600:
        problems.append(f"timeout_s: found {timeout_s!r}; allowed: seconds, more than 0 and at most 3600")
    return problems


def _is_url(entry: Any) -> bool:
    return isinstance(entry, str) and entry.startswith(("http://", "https://"))


__all__ = ["Target", "load_profile"]

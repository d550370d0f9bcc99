"""Options that select the deployment and the credentials of a command."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from .command_error import CommandError
from .exit_status import ExitStatus

if TYPE_CHECKING:
    from pathlib import Path

    from .api_client import ApiClient

_PROFILE_FIELDS = ("entries", "token", "key", "operator", "authority", "timeout_s")


@dataclass(slots=True, kw_only=True)
class ClientOptions:
    """Connection options, merged from the command line, the environment and a profile file.

    Attributes:
        entries: Base URLs of entry VMs.
        token: Operators' token.
        key: Team's key.
        operator: Operator name that the server records with changes.
        authority: PEM file with the CA certificates that verify entry VMs; system CAs if None.
        timeout_s: Timeout for one entry VM, in seconds.
    """

    entries: list[str]
    token: str = ""
    key: str = ""
    operator: str = ""
    authority: str | None = None
    timeout_s: float = 10.0

    def operator_client(self) -> ApiClient:
        """Returns a client that authenticates with the operators' token."""
        return self._create_client(secret=self.token, accepted_sources="--token, HYSSOPWAY_TOKEN or `token`")

    def team_client(self) -> ApiClient:
        """Returns a client that authenticates with a team's key."""
        return self._create_client(secret=self.key, accepted_sources="--key, HYSSOPWAY_KEY or `key`")

    def _create_client(self, *, secret: str, accepted_sources: str) -> ApiClient:
        if not self.entries:
            message = "no entry VM given; set --entry, HYSSOPWAY_ENTRIES or `entries` in the profile file"
            raise CommandError(status=ExitStatus.USAGE, message=message)
        if not secret:
            message = f"this command needs {accepted_sources} in the profile file"
            raise CommandError(status=ExitStatus.USAGE, message=message)
        from .api_client import ApiClient

        return ApiClient(
            entries=self.entries,
            secret=secret,
            operator=self.operator,
            timeout_s=self.timeout_s,
            authority=self.authority,
        )


def load_profile(path: Path) -> dict[str, Any]:
    """Reads a profile file.

    Raises:
        CommandError: The file is unreadable or invalid; the message lists every problem.
    """
    import yaml

    try:
        data = yaml.safe_load(path.read_text(encoding="utf-8")) or {}
    except (OSError, ValueError, yaml.YAMLError) as error:
        reason = " ".join(str(error).split())
        raise CommandError(status=ExitStatus.BAD_FILE, message=f"{path}: {reason}") from error
    problems = list(_validate_profile(data))
    if problems:
        message = "\n".join(f"{path}: {problem}" for problem in problems)
        raise CommandError(status=ExitStatus.BAD_FILE, message=message)
    return dict(data)


def _validate_profile(data: Any) -> list[str]:
    if not isinstance(data, dict):
        return [f"(top): found {data!r}; allowed: a mapping of {', '.join(_PROFILE_FIELDS)}"]
    problems = [
        f"{name}: found an unknown field; allowed: {', '.join(_PROFILE_FIELDS)}"
        for name in data
        if name not in _PROFILE_FIELDS
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


__all__ = ["ClientOptions", "load_profile"]

"""Sends requests to the entry VMs of a deployment."""

from __future__ import annotations

import http.client
import json
import secrets
import ssl
import time
from typing import TYPE_CHECKING, Any
from urllib.parse import urlsplit

from .answer import Answer
from .command_error import CommandError
from .exit_status import ExitStatus

if TYPE_CHECKING:
    from collections.abc import Sequence

ROUNDS = 2
PAUSE_S = 0.3


class Connection:
    """Asks one entry VM after the other until one answers.

    A change carries the same request id to every entry VM, so it takes effect at most once.

    Attributes:
        entries: Base URLs of entry VMs.
        secret: Token of the operators or key of a team.
        operator: Name that changes are recorded under.
        timeout_s: Seconds that one entry VM gets.
        authority: File with the certificates that entry VMs must be signed by.
    """

    __slots__ = ("authority", "entries", "operator", "secret", "timeout_s")

    def __init__(
        self,
        *,
        entries: Sequence[str],
        secret: str,
        operator: str = "",
        timeout_s: float = 10.0,
        authority: str | None = None,
    ) -> None:
        self.entries = list(entries)
        self.secret = secret
        self.operator = operator
        self.timeout_s = timeout_s
        self.authority = authority

    def read(self, path: str) -> Any:
        """Reads JSON.

        Raises:
            CommandError: The server refused, or no entry VM answered.
        """
        return self._ask("GET", path, body=None, request_id="")

    def change(
        self, method: str, path: str, body: Any = None, *, request_id: str = "", resend: str = ""
    ) -> Any:
        """Sends a change.

        Args:
            method: HTTP method.
            path: Path of the route.
            body: Sent as JSON.
            request_id: Id of an earlier try; a new one when empty.
            resend: Options that a later resend needs in addition to the request id.

        Raises:
            CommandError: The server refused, no entry VM answered, or the outcome is unknown.
        """
        request_id = request_id or secrets.token_hex(12)
        try:
            return self._ask(method, path, body=body, request_id=request_id)
        except CommandError as error:
            if error.status is not ExitStatus.MAY_HAVE_RUN:
                raise
            options = f"--request-id {request_id} {resend}".rstrip()
            message = f"{error.message}; the change may have taken effect, send it again with {options}"
            raise CommandError(status=error.status, message=message) from error

    def _ask(self, method: str, path: str, *, body: Any, request_id: str) -> Any:
        sent = False
        problem = CommandError(status=ExitStatus.UNREACHABLE, message="no entry VM is configured")
        for attempt in range(ROUNDS * len(self.entries)):
            entry = self.entries[attempt % len(self.entries)]
            if attempt and attempt % len(self.entries) == 0:
                time.sleep(PAUSE_S)
            try:
                channel = self._connect(entry)
            except OSError as error:
                problem = _unreachable(entry, error)
                continue
            try:
                answer = self._exchange(channel, method, path, body=body, request_id=request_id)
            except (OSError, http.client.HTTPException) as error:
                sent = sent or bool(request_id)
                problem = _unreachable(entry, error)
                continue
            finally:
                channel.close()
            if answer.succeeded:
                return answer.data
            sent = sent or (bool(request_id) and answer.may_have_run)
            problem = CommandError(status=answer.exit_status, message=answer.message)
            if not answer.worth_another_entry:
                break
        # A refusal by the state machine answers for the request id and settles earlier attempts; a lost
        # answer followed by an entry VM that could not decide does not.
        if sent and problem.status in (ExitStatus.UNREACHABLE, ExitStatus.MAY_HAVE_RUN, ExitStatus.REFUSED):
            raise CommandError(status=ExitStatus.MAY_HAVE_RUN, message=problem.message)
        raise problem

    def _connect(self, entry: str) -> http.client.HTTPConnection:
        parts = urlsplit(entry)
        if parts.scheme == "https":
            context = ssl.create_default_context(cafile=self.authority)
            channel: http.client.HTTPConnection = http.client.HTTPSConnection(
                parts.hostname or "", parts.port, timeout=self.timeout_s, context=context
            )
        else:
            channel = http.client.HTTPConnection(parts.hostname or "", parts.port, timeout=self.timeout_s)
        channel.connect()
        return channel

    def _exchange(
        self, channel: http.client.HTTPConnection, method: str, path: str, *, body: Any, request_id: str
    ) -> Answer:
        headers = {"Authorization": f"Bearer {self.secret}"}
        if self.operator:
            headers["Hyssopway-Operator"] = self.operator
        if request_id:
            headers["Idempotency-Key"] = request_id
        data = None
        if body is not None:
            headers["Content-Type"] = "application/json"
            data = json.dumps(body).encode()
        channel.request(method, path, body=data, headers=headers)
        answer = channel.getresponse()
        raw = answer.read()
        try:
            return Answer(status=answer.status, data=json.loads(raw))
        except ValueError:
            return Answer(status=answer.status, data=raw.decode(errors="replace"))


def _unreachable(entry: str, error: Exception) -> CommandError:
    message = f"entry VM {entry} does not answer: {error or type(error).__name__}"
    return CommandError(status=ExitStatus.UNREACHABLE, message=message)


__all__ = ["Connection"]

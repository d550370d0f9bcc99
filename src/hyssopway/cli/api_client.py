"""HTTP client with failover between the entry VMs of a deployment."""

from __future__ import annotations

import http.client
import json
import secrets
import ssl
import time
from typing import TYPE_CHECKING, Any
from urllib.parse import urlsplit

from .api_response import ApiResponse
from .command_error import CommandError
from .exit_status import ExitStatus

if TYPE_CHECKING:
    from collections.abc import Sequence

ATTEMPTS_PER_ENTRY = 2
RETRY_PAUSE_S = 0.3


class ApiClient:
    """Sends a request to one entry VM after another until one of them gives a final response.

    All attempts of a change carry the same request ID, so that it takes effect at most once.

    Attributes:
        entries: Base URLs of entry VMs.
        secret: Operators' token or a team's key, sent as the bearer token.
        operator: Operator name that the server records with changes.
        timeout_s: Timeout for one entry VM, in seconds.
        authority: PEM file with the CA certificates that verify entry VMs; system CAs if None.
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
        """Sends a GET request and returns the decoded body.

        Raises:
            CommandError: The server refused the request, or no entry VM was reachable.
        """
        return self._send_with_failover("GET", path, body=None, request_id="")

    def change(
        self, method: str, path: str, body: Any = None, *, request_id: str = "", retry_options: str = ""
    ) -> Any:
        """Sends a request that changes state and returns the decoded body.

        Args:
            method: HTTP method.
            path: Path of the route.
            body: Request body, sent as JSON.
            request_id: Request ID of an earlier attempt; a new one is generated if empty.
            retry_options: Command-line options that a manual retry needs in addition to `--request-id`.

        Raises:
            CommandError: The server refused the change, no entry VM was reachable, or the outcome is unknown.
        """
        request_id = request_id or secrets.token_hex(12)
        try:
            return self._send_with_failover(method, path, body=body, request_id=request_id)
        except CommandError as error:
            if error.status is not ExitStatus.MAY_HAVE_RUN:
                raise
            options = f"--request-id {request_id} {retry_options}".rstrip()
            message = f"{error.message}; the change may have taken effect; retry it with {options}"
            raise CommandError(status=error.status, message=message) from error

    def _send_with_failover(self, method: str, path: str, *, body: Any, request_id: str) -> Any:
        maybe_received = False
        last_error = CommandError(status=ExitStatus.UNREACHABLE, message="no entry VM is configured")
        for attempt in range(ATTEMPTS_PER_ENTRY * len(self.entries)):
            entry = self.entries[attempt % len(self.entries)]
            if attempt and attempt % len(self.entries) == 0:
                time.sleep(RETRY_PAUSE_S)
            try:
                http_connection = self._connect(entry)
            except OSError as error:
                last_error = _unreachable_error(entry, error)
                continue
            try:
                response = self._send(http_connection, method, path, body=body, request_id=request_id)
            except (OSError, http.client.HTTPException) as error:
                maybe_received = maybe_received or bool(request_id)
                last_error = _unreachable_error(entry, error)
                continue
            finally:
                http_connection.close()
            if response.succeeded:
                return response.data
            maybe_received = maybe_received or (bool(request_id) and response.may_have_run)
            last_error = CommandError(status=response.exit_status, message=response.message)
            if not response.should_try_next_entry:
                break
        # A refusal by the replicated state is recorded under the request ID, so it settles earlier attempts too.
        # If a response was lost and the next entry VM could not decide, the outcome remains unknown.
        if maybe_received and last_error.status in (
            ExitStatus.UNREACHABLE,
            ExitStatus.MAY_HAVE_RUN,
            ExitStatus.REFUSED,
        ):
            raise CommandError(status=ExitStatus.MAY_HAVE_RUN, message=last_error.message)
        raise last_error

    def _connect(self, entry: str) -> http.client.HTTPConnection:
        parts = urlsplit(entry)
        if parts.scheme == "https":
            context = ssl.create_default_context(cafile=self.authority)
            http_connection: http.client.HTTPConnection = http.client.HTTPSConnection(
                parts.hostname or "", parts.port, timeout=self.timeout_s, context=context
            )
        else:
            http_connection = http.client.HTTPConnection(
                parts.hostname or "", parts.port, timeout=self.timeout_s
            )
        http_connection.connect()
        return http_connection

    def _send(
        self,
        http_connection: http.client.HTTPConnection,
        method: str,
        path: str,
        *,
        body: Any,
        request_id: str,
    ) -> ApiResponse:
        headers = {"Authorization": f"Bearer {self.secret}"}
        if self.operator:
            headers["Hyssopway-Operator"] = self.operator
        if request_id:
            headers["Idempotency-Key"] = request_id
        data = None
        if body is not None:
            headers["Content-Type"] = "application/json"
            data = json.dumps(body).encode()
        http_connection.request(method, path, body=data, headers=headers)
        response = http_connection.getresponse()
        raw = response.read()
        try:
            return ApiResponse(status=response.status, data=json.loads(raw))
        except ValueError:
            return ApiResponse(status=response.status, data=raw.decode(errors="replace"))


def _unreachable_error(entry: str, error: Exception) -> CommandError:
    message = f"entry VM {entry} does not answer: {error or type(error).__name__}"
    return CommandError(status=ExitStatus.UNREACHABLE, message=message)


__all__ = ["ApiClient"]

"""Fixture for entry VMs that return scripted responses."""

from __future__ import annotations

import json
import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import TYPE_CHECKING, Any

import pytest

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

RESPONSE_LOST = "lost"


class ScriptedEntryVm:
    """HTTP server that returns scripted responses in order and repeats the last one.

    `RESPONSE_LOST` closes the connection after reading the request, without a response.
    """

    def __init__(self, *responses: Any) -> None:
        self.responses = list(responses)
        self.received_requests: list[dict[str, Any]] = []
        self.server = ThreadingHTTPServer(("127.0.0.1", 0), self._handler())
        self.thread = threading.Thread(target=self.server.serve_forever, kwargs={"poll_interval": 0.01})
        self.thread.start()

    @property
    def url(self) -> str:
        """Base URL of the server."""
        return f"http://127.0.0.1:{self.server.server_address[1]}"

    def stop(self) -> None:
        """Stops the server."""
        self.server.shutdown()
        self.thread.join()
        self.server.server_close()

    def _handler(self) -> type[BaseHTTPRequestHandler]:
        entry = self

        class Handler(BaseHTTPRequestHandler):
            def handle_request(self) -> None:
                size = int(self.headers.get("Content-Length", 0))
                body = json.loads(self.rfile.read(size) or "null")
                entry.received_requests.append({"path": self.path, "body": body, **dict(self.headers)})
                response = entry.responses.pop(0) if len(entry.responses) > 1 else entry.responses[0]
                if response is RESPONSE_LOST:
                    self.close_connection = True
                    return
                status, data = response
                raw = data if isinstance(data, bytes) else json.dumps(data).encode()
                self.send_response(status)
                self.send_header("Content-Length", str(len(raw)))
                self.end_headers()
                self.wfile.write(raw)

            do_GET = do_POST = do_DELETE = handle_request  # noqa: N815  names that http.server looks up

            def log_message(self, *_: object) -> None:
                pass

        return Handler


@pytest.fixture
def start_entry_vm() -> Iterator[Callable[..., ScriptedEntryVm]]:
    entries: list[ScriptedEntryVm] = []

    def start(*responses: Any) -> ScriptedEntryVm:
        entries.append(ScriptedEntryVm(*responses))
        return entries[-1]

    yield start
    for entry in entries:
        entry.stop()

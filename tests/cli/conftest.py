"""Entry VMs that answer as a test tells them."""

from __future__ import annotations

import json
import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import TYPE_CHECKING, Any

import pytest

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

LOST = "lost"


class ScriptedEntry:
    """Answers requests from a list; `LOST` closes the connection after the request was read."""

    def __init__(self, *answers: Any) -> None:
        self.answers = list(answers)
        self.seen: list[dict[str, Any]] = []
        self.server = ThreadingHTTPServer(("127.0.0.1", 0), self._handler())
        self.thread = threading.Thread(target=self.server.serve_forever, kwargs={"poll_interval": 0.01})
        self.thread.start()

    @property
    def url(self) -> str:
        """Base URL."""
        return f"http://127.0.0.1:{self.server.server_address[1]}"

    def stop(self) -> None:
        """Stops to listen."""
        self.server.shutdown()
        self.thread.join()
        self.server.server_close()

    def _handler(self) -> type[BaseHTTPRequestHandler]:
        entry = self

        class Handler(BaseHTTPRequestHandler):
            def answer(self) -> None:
                size = int(self.headers.get("Content-Length", 0))
                body = json.loads(self.rfile.read(size) or "null")
                entry.seen.append({"path": self.path, "body": body, **dict(self.headers)})
                answer = entry.answers.pop(0) if len(entry.answers) > 1 else entry.answers[0]
                if answer is LOST:
                    self.close_connection = True
                    return
                status, data = answer
                raw = data if isinstance(data, bytes) else json.dumps(data).encode()
                self.send_response(status)
                self.send_header("Content-Length", str(len(raw)))
                self.end_headers()
                self.wfile.write(raw)

            do_GET = do_POST = do_DELETE = answer  # noqa: N815  names that http.server looks up

            def log_message(self, *_: object) -> None:
                pass

        return Handler


@pytest.fixture
def scripted() -> Iterator[Callable[..., ScriptedEntry]]:
    entries: list[ScriptedEntry] = []

    def make(*answers: Any) -> ScriptedEntry:
        entries.append(ScriptedEntry(*answers))
        return entries[-1]

    yield make
    for entry in entries:
        entry.stop()

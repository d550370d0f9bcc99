"""A crowd of clients on one thread; each sends a script and then stays open."""

from __future__ import annotations

import contextlib
import selectors
import socket
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Self

# The crowd is at rest when no client could send or was closed for this time.
REST_S = 0.7
# Ends a crowd that never rests.
LONGEST_S = 6.0
READ_BYTES = 65536


@dataclass(frozen=True, slots=True, kw_only=True)
class CrowdKind:
    """What each client of a crowd does.

    Attributes:
        clients: Number of clients.
        script: Returns the parts that a client of this number sends, each in a write of its own.
        reads: Whether the clients read responses.
        connects: Number of times each client connects; it connects again after the server has closed.
    """

    clients: int
    script: Callable[[int], Iterator[bytes]]
    reads: bool = True
    connects: int = 2


class _Client:
    def __init__(self, *, number: int, kind: CrowdKind, address: tuple[str, int]) -> None:
        self.number = number
        self.kind = kind
        self.address = address
        self.connects_left = kind.connects
        self.socket: socket.socket | None = None
        self.script: Iterator[bytes] = iter(())
        self.rest = memoryview(b"")

    def connect(self) -> bool:
        if not self.connects_left:
            return False
        self.connects_left -= 1
        self.socket = socket.socket()
        self.socket.setblocking(False)
        self.socket.connect_ex(self.address)
        self.script = self.kind.script(self.number)
        self.rest = memoryview(b"")
        return True

    def close(self) -> None:
        if self.socket is not None:
            self.socket.close()
            self.socket = None

    def send(self) -> bool:
        """Sends one part; returns False when the script has ended."""
        if not self.rest:
            part = next(self.script, None)
            if part is None:
                return False
            self.rest = memoryview(part)
        self.rest = self.rest[self.socket.send(self.rest) :]
        return True


class Crowd:
    """Clients of one kind at one address.

    Attributes:
        clients: All clients.
        selector: Waits for their sockets.
    """

    def __init__(self, *, kind: CrowdKind, address: tuple[str, int]) -> None:
        self.selector = selectors.DefaultSelector()
        self.clients = [_Client(number=n, kind=kind, address=address) for n in range(kind.clients)]
        self.reads = selectors.EVENT_READ if kind.reads else 0

    def __enter__(self) -> Self:
        """Connects all clients."""
        for client in self.clients:
            self._connect(client)
        return self

    def __exit__(self, *_: object) -> None:
        """Closes all connections."""
        for client in self.clients:
            client.close()
        self.selector.close()

    def run(self) -> None:
        """Sends until the crowd rests; the connections stay open."""
        now = time.monotonic()
        ends_at, rests_at = now + LONGEST_S, now + REST_S
        while (now := time.monotonic()) < min(ends_at, rests_at):
            ready = self.selector.select(timeout=0.05)
            for key, events in ready:
                self._serve(key.data, events)
            if ready:
                rests_at = time.monotonic() + REST_S

    def _connect(self, client: _Client) -> None:
        if client.connect():
            self.selector.register(client.socket, self.reads | selectors.EVENT_WRITE, client)

    def _serve(self, client: _Client, events: int) -> None:
        try:
            if events & selectors.EVENT_READ and not client.socket.recv(READ_BYTES):
                raise ConnectionError
            if events & selectors.EVENT_WRITE and not client.send():
                self._stop_writing(client)
        except BlockingIOError:
            pass
        except OSError:
            with contextlib.suppress(KeyError):
                self.selector.unregister(client.socket)
            client.close()
            self._connect(client)

    def _stop_writing(self, client: _Client) -> None:
        if self.reads:
            self.selector.modify(client.socket, self.reads, client)
        else:
            self.selector.unregister(client.socket)


__all__ = ["Crowd", "CrowdKind"]

"""A loopback TCP proxy that delays, resets or drops traffic, also in one direction only."""

from __future__ import annotations

import asyncio
import contextlib
from enum import StrEnum

CHUNK_BYTES = 65_536


class NetworkFault(StrEnum):
    """Fault that a proxy applies to its connections."""

    NONE = "none"
    DELAY = "delay"
    RESET = "reset"
    SILENCE = "silence"
    NO_REQUESTS = "no requests"
    NO_RESPONSES = "no responses"


class Proxy:
    """Forwards connections to one address.

    Attributes:
        target: Host and port to which connections are forwarded.
        fault: Current fault; it also applies to open connections.
        delay_s: Delay of each chunk in seconds while the fault is DELAY.
        address: Listen address as ``IP:PORT``.
    """

    def __init__(self, *, target: tuple[str, int]) -> None:
        self.target = target
        self.fault = NetworkFault.NONE
        self.delay_s = 0.0
        self.address = ""
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listens on a free port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        """Stops listening and aborts all connections."""
        if self.server is not None:
            self.server.close()
        self._reset_all()

    def set(self, fault: NetworkFault, *, delay_s: float = 0.0) -> None:
        """Sets the current fault; RESET aborts open connections immediately."""
        self.fault, self.delay_s = fault, delay_s
        if fault is NetworkFault.RESET:
            self._reset_all()

    def _reset_all(self) -> None:
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            await self._forward(reader, writer)
        except asyncio.CancelledError:
            pass  # asyncio streams of this Python version report a cancelled handler as an error
        finally:
            self.writers.discard(writer)
            writer.transport.abort()

    async def _forward(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.fault is NetworkFault.RESET:
            return
        with contextlib.suppress(OSError):
            target_reader, target_writer = await asyncio.open_connection(*self.target)
            self.writers.add(target_writer)
            try:
                await asyncio.gather(
                    self._copy(reader, target_writer, dropping_fault=NetworkFault.NO_REQUESTS),
                    self._copy(target_reader, writer, dropping_fault=NetworkFault.NO_RESPONSES),
                )
            finally:
                self.writers.discard(target_writer)
                target_writer.transport.abort()

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, *, dropping_fault: NetworkFault
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                if self.fault is NetworkFault.DELAY:
                    await asyncio.sleep(self.delay_s)
                if self.fault in (NetworkFault.SILENCE, dropping_fault):
                    continue  # drops the data while the connection stays open, as in a silent partition
                writer.write(data)
                await writer.drain()
        writer.close()


__all__ = ["NetworkFault", "Proxy"]

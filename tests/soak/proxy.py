"""A loopback proxy that delays, resets, silences or cuts connections one way."""

from __future__ import annotations

import asyncio
import contextlib
from enum import StrEnum

CHUNK_BYTES = 65_536


class Trouble(StrEnum):
    """What happens to bytes on their way."""

    NONE = "none"
    DELAY = "delay"
    RESET = "reset"
    SILENCE = "silence"
    NO_REQUESTS = "no requests"
    NO_ANSWERS = "no answers"


class Proxy:
    """Forwards connections to one address.

    Attributes:
        target: Host and port of the process behind.
        trouble: Present trouble, for open connections as well.
        delay_s: Delay of each chunk while the trouble is a delay.
        address: Own address as ``IP:PORT``.
    """

    def __init__(self, *, target: tuple[str, int]) -> None:
        self.target = target
        self.trouble = Trouble.NONE
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
        """Closes everything."""
        if self.server is not None:
            self.server.close()
        self._reset_all()

    def set(self, trouble: Trouble, *, delay_s: float = 0.0) -> None:
        """Changes the trouble; a reset ends open connections at once."""
        self.trouble, self.delay_s = trouble, delay_s
        if trouble is Trouble.RESET:
            self._reset_all()

    def _reset_all(self) -> None:
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            await self._forward(reader, writer)
        except asyncio.CancelledError:
            pass  # the streams of this Python report a cancelled handler as an error
        finally:
            self.writers.discard(writer)
            writer.transport.abort()

    async def _forward(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.trouble is Trouble.RESET:
            return
        with contextlib.suppress(OSError):
            behind_reader, behind_writer = await asyncio.open_connection(*self.target)
            self.writers.add(behind_writer)
            try:
                await asyncio.gather(
                    self._copy(reader, behind_writer, held=Trouble.NO_REQUESTS),
                    self._copy(behind_reader, writer, held=Trouble.NO_ANSWERS),
                )
            finally:
                self.writers.discard(behind_writer)
                behind_writer.transport.abort()

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, *, held: Trouble
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                if self.trouble is Trouble.DELAY:
                    await asyncio.sleep(self.delay_s)
                if self.trouble in (Trouble.SILENCE, held):
                    continue  # lost: the connection stays open and nobody hears of it
                writer.write(data)
                await writer.drain()
        writer.close()


__all__ = ["Proxy", "Trouble"]

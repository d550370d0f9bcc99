"""TCP relays between daemons that simulate network partitions."""

from __future__ import annotations

import asyncio
from copy import deepcopy
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import yaml

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .processes import Deployment

CHUNK_BYTES = 64 * 1024


@dataclass(slots=True, kw_only=True)
class Network:
    """One TCP relay for each ordered pair of daemons.

    A connection that lost bytes, or that was opened while its direction was cut, delivers nothing after the network
    heals, as behind a firewall that dropped its state. Only a new connection delivers data.

    Attributes:
        cuts: Pairs of sender and receiver whose bytes are dropped.
        healed: Set while no direction is cut.
        servers: TCP servers of the relays.
        connections: Tasks of open connections.
        forwarded: Number of bytes forwarded in all directions.
    """

    cuts: set[tuple[str, str]] = field(default_factory=set)
    healed: asyncio.Event = field(default_factory=asyncio.Event)
    servers: list[asyncio.Server] = field(default_factory=list)
    connections: set[asyncio.Task[None]] = field(default_factory=set)
    forwarded: int = 0

    async def attach(self, deployment: Deployment) -> None:
        """Opens the relays and writes their ports into the settings; call it before the daemons start."""
        self.healed.set()
        for source, daemon in deployment.daemons.items():
            daemon.settings["peers"] = peers = deepcopy(daemon.settings["peers"])
            for peer in peers:
                if peer["name"] != source:
                    peer["peer_port"] = await self._open_relay(source=source, peer=dict(peer))
            daemon.settings_path.write_text(yaml.safe_dump(daemon.settings))

    def cut(self, directions: Iterable[tuple[str, str]]) -> None:
        """Drops all bytes sent in these directions from now on."""
        self.cuts |= set(directions)
        self.healed.clear()

    def heal(self) -> None:
        """Removes all cuts; new connections deliver data again."""
        self.cuts.clear()
        self.healed.set()

    async def close(self) -> None:
        """Closes all relays and connections."""
        for server in self.servers:
            server.close()
        for task in self.connections:
            task.cancel()
        await asyncio.gather(*self.connections, return_exceptions=True)

    async def _open_relay(self, *, source: str, peer: dict[str, str | int]) -> int:
        host, port, target = str(peer["host"]), int(peer["peer_port"]), str(peer["name"])

        def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            task = asyncio.create_task(serve(reader, writer))
            self.connections.add(task)
            task.add_done_callback(self.connections.discard)

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            try:
                there_reader, there_writer = await asyncio.open_connection(host, port)
                await asyncio.gather(
                    self._forward(reader, there_writer, direction=(source, target)),
                    self._forward(there_reader, writer, direction=(target, source)),
                )
            except OSError:
                pass  # a killed daemon refuses or resets the connection; closing it tells the other side
            finally:
                writer.close()

        server = await asyncio.start_server(accept, host, 0)
        self.servers.append(server)
        return int(server.sockets[0].getsockname()[1])

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, *, direction: tuple[str, str]
    ) -> None:
        lost = direction in self.cuts
        try:
            while data := await _read(reader):
                lost = lost or direction in self.cuts
                if not lost:
                    self.forwarded += len(data)
                    writer.write(data)
                    await writer.drain()
            if direction in self.cuts:
                # A closed connection is not visible across a cut either, so the close is forwarded after the heal.
                await self.healed.wait()
        finally:
            writer.close()


async def _read(reader: asyncio.StreamReader) -> bytes:
    try:
        return await reader.read(CHUNK_BYTES)
    except ConnectionError:
        return b""


def both_directions(some: Iterable[str], others: Iterable[str]) -> set[tuple[str, str]]:
    """Returns both directions between two groups of daemons."""
    pairs = {(one, other) for one in some for other in others if one != other}
    return pairs | {(other, one) for one, other in pairs}


__all__ = ["Network", "both_directions"]

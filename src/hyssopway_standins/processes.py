"""Starts the daemons of an example deployment as processes on loopback."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import subprocess
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING, Any

import aiohttp
import yaml

from .fleet import EXAMPLES

if TYPE_CHECKING:
    from collections.abc import Iterator

# Only a hang takes as long: a daemon that has ended is noticed at once, and a busy machine starts slowly.
READY_TIMEOUT_S = 100.0


@dataclass(slots=True, kw_only=True)
class DaemonProcess:
    """One daemon that runs as a process.

    Attributes:
        name: Name of the daemon.
        settings_path: Settings file of the daemon.
        settings: Content of the settings file.
        log_path: File that stdout and stderr are appended to.
        process: Last started process; None before the first start.
    """

    name: str
    settings_path: Path
    settings: dict[str, Any]
    log_path: Path
    process: subprocess.Popen[bytes] | None = None

    @property
    def own(self) -> dict[str, Any]:
        """Entry of this daemon in the list of peers."""
        return next(peer for peer in self.settings["peers"] if peer["name"] == self.name)

    @property
    def url(self) -> str:
        """Base URL of the HTTP API."""
        scheme = "https" if self.settings.get("tls") else "http"
        return f"{scheme}://{self.own['host']}:{self.own['http_port']}"

    @property
    def zone(self) -> str:
        """Availability zone."""
        return str(self.own["zone"])

    def start(self, *, initialise: bool = False) -> None:
        """Starts the process."""
        command = [sys.executable, "-m", "hyssopway", "--settings", str(self.settings_path)]
        if initialise:
            command.append("--initialise")
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(command, stdout=log, stderr=log, cwd=self.settings_path.parent)

    def send(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            os.kill(self.process.pid, number)

    def kill(self) -> None:
        """Kills the process without a graceful stop, like a power loss, and waits for its end."""
        self.send(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def stop(self, *, timeout_s: float = 10.0) -> int:
        """Stops the process gracefully, kills it after the timeout, and returns its exit status."""
        if self.process is None:
            return 0
        self.send(signal.SIGTERM)
        try:
            return self.process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            self.kill()
            return -signal.SIGKILL


@dataclass(slots=True, kw_only=True)
class Deployment:
    """All daemons of an example deployment.

    Attributes:
        name: Name of the example deployment.
        folder: Directory for settings, data and logs.
        daemons: Daemons by name.
    """

    name: str
    folder: Path
    daemons: dict[str, DaemonProcess] = field(default_factory=dict)

    @staticmethod
    def prepare(*, name: str, folder: Path, overrides: dict[str, Any] | None = None) -> Deployment:
        """Writes the settings of all daemons, with free ports that the kernel assigns."""
        deployment = Deployment(name=name, folder=folder)
        paths = sorted((EXAMPLES / name / "settings").glob("*.yaml"))
        peers: list[dict[str, Any]] = yaml.safe_load(paths[0].read_text())["peers"]
        for peer, host in zip(peers, _loopback_addresses(), strict=False):
            http_port, peer_port = _free_ports(host, count=2)
            peer |= {"host": host, "http_port": http_port, "peer_port": peer_port}
        for path in paths:
            settings = yaml.safe_load(path.read_text()) | {"peers": peers, "dump_dir": str(folder)}
            if "data_dir" in settings:
                settings["data_dir"] = str(folder / settings["data_dir"])
            settings.pop("platform_url", None)
            # No load balancer is in front of the daemons, so the health check need not fail for long before a stop.
            settings["drain_health_s"] = 0.1
            settings |= overrides or {}
            target = folder / path.name
            target.write_text(yaml.safe_dump(settings))
            deployment.daemons[settings["name"]] = DaemonProcess(
                name=settings["name"],
                settings_path=target,
                settings=settings,
                log_path=folder / f"{path.stem}.log",
            )
        return deployment

    @property
    def operator_token(self) -> str:
        """Secret of the operators."""
        return str(next(iter(self.daemons.values())).settings["operator_token"])

    @property
    def fleet_token(self) -> str:
        """Secret of endpoints and workers."""
        return str(next(iter(self.daemons.values())).settings["fleet_token"])

    def entries(self, zone: str) -> list[str]:
        """Returns the base URLs of the entry VMs of a zone."""
        return [daemon.url for daemon in self.daemons.values() if daemon.zone == zone]

    def start(self, *, initialise: bool = True) -> None:
        """Starts all daemons."""
        for daemon in self.daemons.values():
            daemon.start(initialise=initialise)

    def stop(self) -> dict[str, int]:
        """Stops all daemons and returns their exit statuses."""
        for daemon in self.daemons.values():
            daemon.send(signal.SIGCONT)
            daemon.send(signal.SIGTERM)
        return {name: daemon.stop() for name, daemon in self.daemons.items()}

    async def wait_ready(self, *, timeout_s: float = READY_TIMEOUT_S) -> None:
        """Waits until every running daemon is confirmed by a leader.

        Raises:
            RuntimeError: A daemon ended before it was confirmed.
            TimeoutError: A daemon was not confirmed in time.
        """
        deadline = time.monotonic() + timeout_s
        headers = {"Authorization": f"Bearer {self.operator_token}"}
        async with aiohttp.ClientSession(headers=headers) as session:
            for daemon in self.daemons.values():
                if daemon.process is not None and daemon.process.poll() is None:
                    await _wait_confirmed(session, daemon=daemon, deadline=deadline)


async def _wait_confirmed(session: aiohttp.ClientSession, *, daemon: DaemonProcess, deadline: float) -> None:
    while True:
        try:
            async with session.get(f"{daemon.url}/v1/dump") as answer:
                age_s = (await answer.json())["freshness_age_s"]
            if age_s is not None and age_s < 2.0:
                return
        except aiohttp.ClientError:
            pass
        if daemon.process is None or daemon.process.poll() is not None:
            raise RuntimeError(f"{daemon.name} has ended; see {daemon.log_path}")
        if time.monotonic() > deadline:
            raise TimeoutError(f"{daemon.name} is not ready; see {daemon.log_path}")
        await asyncio.sleep(0.05)


def _loopback_addresses() -> Iterator[str]:
    # Outgoing connections on loopback use 127.0.0.1 as their source. With other addresses for the listeners, the
    # kernel cannot assign a port that was chosen here to such a connection before the daemon listens on it.
    process = os.getpid()
    for number in range(1, 255):
        yield f"127.{1 + process // 250 % 250}.{1 + process % 250}.{number}"


def _free_ports(host: str, *, count: int) -> list[int]:
    sockets = [socket.socket() for _ in range(count)]
    try:
        for item in sockets:
            item.bind((host, 0))
        return [int(item.getsockname()[1]) for item in sockets]
    finally:
        for item in sockets:
            item.close()


__all__ = ["DaemonProcess", "Deployment"]

"""Control and entry programs as separate processes."""

from __future__ import annotations

import os
import shutil
import signal
import socket
import subprocess
import sys
from pathlib import Path

import tomli_w

REPOSITORY = Path(__file__).parents[2]
ZONES = {"nashua": "north", "worcester": "north"}
STOP_S = 12.0


def find_free_port(host: str) -> int:
    """Returns a port that nobody uses on a loopback address."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        port: int = probe.getsockname()[1]
        return port


class Node:
    """One program on its own loopback address.

    Attributes:
        name: Name of the machine.
        role: `entry` or `control`.
        host: Loopback address.
        folder: Settings, data and output.
        http: Address of callers or operators as ``IP:PORT``.
        process: The process; None while it is stopped.
        is_frozen: Whether it was stopped by a signal.
    """

    def __init__(self, *, name: str, role: str, host: str, folder: Path) -> None:
        self.name = name
        self.role = role
        self.host = host
        self.folder = folder
        self.http = f"{host}:{find_free_port(host)}"
        self.process: subprocess.Popen[bytes] | None = None
        self.is_frozen = False
        folder.mkdir(parents=True)

    def write_settings(self, *, seeds: list[str], peer_port: int, machines: str, bootstrap: bool) -> None:
        """Writes the settings file of the platform."""
        listen = {"front": self.http, "readiness": f"{self.host}:{find_free_port(self.host)}"}
        settings = {
            "node_name": self.name,
            "ip_address": self.host,
            "zone": "nashua",
            "internal_port_range": [peer_port, peer_port],
            "seed_nodes": seeds,
            "bootstrap": bootstrap,
            "data_directory": str(self.folder / "data"),
            "zones": ZONES,
            "listen_addresses": listen if self.role == "entry" else {"control": self.http},
            "bounds": {"stop_timeout_ms": 400, "grace_period_s": 6.0},
            "fault_tolerance": {"machines": 1},
            "cloud_api": {"address": machines},
        }
        (self.folder / "settings.toml").write_text(tomli_w.dumps(settings))

    def start(self) -> None:
        """Starts the process."""
        (self.folder / "data").mkdir(exist_ok=True)
        output = (self.folder / "output.jsonl").open("ab")
        environment = os.environ | {"HYSSOPWAY_BOOT": str(self.folder / "settings.toml")}
        self.process = subprocess.Popen(
            [sys.executable, str(REPOSITORY / "platform" / "run.py"), self.role],
            stdout=output,
            stderr=subprocess.STDOUT,
            env=environment,
        )
        output.close()

    def kill(self) -> None:
        """Ends the process at once."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()
        self.process, self.is_frozen = None, False

    def freeze(self) -> None:
        """Stops the process until `thaw`."""
        if self.process is not None:
            self.process.send_signal(signal.SIGSTOP)
            self.is_frozen = True

    def thaw(self) -> None:
        """Lets the process go on."""
        if self.process is not None and self.is_frozen:
            self.process.send_signal(signal.SIGCONT)
        self.is_frozen = False

    def terminate(self) -> None:
        """Asks the process to stop."""
        if self.process is not None:
            self.process.terminate()

    def wait(self) -> int:
        """Waits for the end of a process that was asked to stop, and returns its status."""
        if self.process is None:
            return 0
        status = self.process.wait(timeout=STOP_S)
        self.process = None
        return status

    def wipe(self) -> None:
        """Loses the disk of a process that has ended."""
        shutil.rmtree(self.folder / "data")


__all__ = ["Node", "find_free_port"]

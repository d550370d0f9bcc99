"""Runs the control and entry programs as separate processes."""

from __future__ import annotations

import os
import shutil
import signal
import socket
import subprocess
import sys
from pathlib import Path

import tomli_w

from .stalling_disk import STALL_VARIABLE

PROGRAM = Path(__file__).with_name("stalling_disk.py")
ZONES = {"nashua": "north", "worcester": "north"}
STOP_TIMEOUT_S = 12.0


def find_free_port(host: str) -> int:
    """Returns an unused TCP port on a loopback address."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        port: int = probe.getsockname()[1]
        return port


class Node:
    """A control or entry process on its own loopback address.

    Attributes:
        name: Name of the machine.
        role: `entry` or `control`.
        host: Loopback address.
        folder: Directory of settings, data and output.
        http: Address for callers or operators as ``IP:PORT``.
        process: The process; None while it does not run.
        is_suspended: Whether the process is suspended by SIGSTOP.
        output: File with the log of the process.
        stall_file: File that stalls the disk while it exists.
    """

    def __init__(self, *, name: str, role: str, host: str, folder: Path) -> None:
        self.name = name
        self.role = role
        self.host = host
        self.folder = folder
        self.http = f"{host}:{find_free_port(host)}"
        self.process: subprocess.Popen[bytes] | None = None
        self.is_suspended = False
        self.stall_file = folder / "disk-stalls"
        self.output = folder / "output.jsonl"
        folder.mkdir(parents=True)
        self.output.touch()

    def write_settings(
        self,
        *,
        seeds: list[str],
        peer_port: int,
        machine_api_address: str,
        bootstrap: bool,
        limits: dict[str, int] | None = None,
    ) -> None:
        """Writes the settings file that the platform reads at start; without limits the defaults apply."""
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
            "cloud_api": {"address": machine_api_address},
            **({"limits": limits} if limits else {}),
        }
        (self.folder / "settings.toml").write_text(tomli_w.dumps(settings))

    def start(self) -> None:
        """Starts the process."""
        (self.folder / "data").mkdir(exist_ok=True)
        output = self.output.open("ab")
        environment = os.environ | {
            "HYSSOPWAY_BOOT": str(self.folder / "settings.toml"),
            STALL_VARIABLE: str(self.stall_file),
        }
        self.process = subprocess.Popen(
            [sys.executable, str(PROGRAM), self.role],
            stdout=output,
            stderr=subprocess.STDOUT,
            env=environment,
        )
        output.close()

    def kill(self) -> None:
        """Kills the process and waits for its exit."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()
        self.process, self.is_suspended = None, False

    def suspend(self) -> None:
        """Suspends the process with SIGSTOP until `resume`."""
        if self.process is not None:
            self.process.send_signal(signal.SIGSTOP)
            self.is_suspended = True

    def resume(self) -> None:
        """Resumes a suspended process."""
        if self.process is not None and self.is_suspended:
            self.process.send_signal(signal.SIGCONT)
        self.is_suspended = False

    def stall_disk(self) -> None:
        """Lets the disk answer no sync until `release_disk`."""
        self.stall_file.touch()

    def release_disk(self) -> None:
        """Lets the disk answer again."""
        self.stall_file.unlink(missing_ok=True)

    def terminate(self) -> None:
        """Sends SIGTERM to the process."""
        if self.process is not None:
            self.process.terminate()

    def wait(self) -> int:
        """Waits until a terminated process exits and returns its exit status."""
        if self.process is None:
            return 0
        status = self.process.wait(timeout=STOP_TIMEOUT_S)
        self.process = None
        return status

    def wipe(self) -> None:
        """Deletes the data directory of a stopped process, as when its disk is lost."""
        shutil.rmtree(self.folder / "data")


__all__ = ["Node", "find_free_port"]

"""Starts the programs of `platform/` and measures the cost of their start."""

from __future__ import annotations

import os
import socket
import subprocess
import sys
import time
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

REPOSITORY = Path(__file__).resolve().parents[2]
# An address for each measuring process, because the metrics port of the programs is fixed.
HOST = f"127.94.{os.getpid() // 250 % 250}.{os.getpid() % 250 + 1}"
# Nothing listens here, so a program finds no leader.
ABSENT_SEED = "127.95.0.1:1"
START_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.002
# Time after the first connection until memory is read.
SETTLE_S = 1.0
BARE_IMPORT = "import aiohttp.web, time; print(time.process_time())"


@dataclass(frozen=True, slots=True, kw_only=True)
class ProgramStart:
    """Cost of one start.

    Attributes:
        cpu_s: CPU seconds of the process until it accepts its first connection.
        wall_s: Seconds until then.
        rss_mb: Resident memory after it has settled.
    """

    cpu_s: float
    wall_s: float
    rss_mb: float


def measure_start(
    role: str, *, folder: Path, repository: Path = REPOSITORY, settle_s: float = SETTLE_S
) -> ProgramStart:
    """Starts `run.py ROLE` without any other node and measures it until it has settled.

    Args:
        role: `entry` or `control`.
        folder: Folder for settings and data.
        repository: Checkout whose program is started.
        settle_s: Time after the first connection until memory is read.

    Raises:
        TimeoutError: The program did not accept a connection in time, or ended.
    """
    port = _find_free_port()
    settings = folder / "settings.toml"
    settings.write_text(_settings(role, port=port, data=folder / "data"))
    (folder / "data").mkdir(exist_ok=True)
    started_at = time.monotonic()
    process = subprocess.Popen(
        [sys.executable, str(repository / "platform" / "run.py"), role],
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
        env={name: value for name, value in os.environ.items() if name != "PYTHONPATH"}
        | {"HYSSOPWAY_BOOT": str(settings)},
    )
    try:
        _wait_until_it_accepts(process, port=port)
        wall_s, cpu_s = time.monotonic() - started_at, _read_cpu_s(process.pid)
        time.sleep(settle_s)
        return ProgramStart(cpu_s=cpu_s, wall_s=wall_s, rss_mb=_read_rss_mb(process.pid))
    finally:
        process.kill()
        process.wait()


def measure_bare_import() -> float:
    """Returns the CPU seconds of an interpreter that only imports `aiohttp.web`."""
    result = subprocess.run([sys.executable, "-c", BARE_IMPORT], capture_output=True, text=True, check=True)
    return float(result.stdout)


def _wait_until_it_accepts(process: subprocess.Popen[bytes], *, port: int) -> None:
    for _ in _until(time.monotonic() + START_TIMEOUT_S):
        if process.poll() is not None:
            raise TimeoutError(f"the program ended with status {process.returncode}")
        with socket.socket() as probe:
            if probe.connect_ex((HOST, port)) == 0:
                return
    raise TimeoutError(f"the program accepted no connection within {START_TIMEOUT_S:.0f} s")


def _until(deadline: float) -> Iterator[None]:
    while time.monotonic() < deadline:
        yield
        time.sleep(POLL_INTERVAL_S)


def _read_cpu_s(pid: int) -> float:
    tasks = Path(f"/proc/{pid}/task").glob("*/schedstat")
    return sum(int(task.read_text().split()[0]) for task in tasks) / 1e9


def _read_rss_mb(pid: int) -> float:
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    raise RuntimeError(f"the status of process {pid} has no resident size")


def _find_free_port() -> int:
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        port: int = probe.getsockname()[1]
        return port


def _settings(role: str, *, port: int, data: Path) -> str:
    listener = "front" if role == "entry" else "control"
    readiness = f'readiness = "{HOST}:{_find_free_port()}"\n' if role == "entry" else ""
    return (
        f'node_name = "{role}-1"\nip_address = "{HOST}"\nzone = "nashua"\n'
        f"internal_port_range = [{_find_free_port()}, 65535]\nseed_nodes = ['{ABSENT_SEED}']\n"
        f"data_directory = '{data}'\n"
        f'[zones]\nnashua = "north"\n'
        f'[listen_addresses]\n{listener} = "{HOST}:{port}"\n{readiness}'
    )


__all__ = ["ProgramStart", "measure_bare_import", "measure_start"]
